#include "snipeworks/relay_messages.h"

namespace snipeworks {

RelayReply RelayReply::From(const HttpResponse& response) {
  RelayReply reply;
  reply.accepted = true;
  reply.status = static_cast<std::uint16_t>(response.status);
  reply.content_type = response.content_type;
  reply.headers = response.headers;
  reply.body = response.body;
  if (response.declared_length) {
    reply.declared_length =
        static_cast<std::int64_t>(*response.declared_length);
  }
  return reply;
}

HttpResponse RelayReply::ToResponse() const {
  HttpResponse response;
  response.status = status;
  response.content_type = content_type;
  response.headers = headers;
  response.body = body;
  if (declared_length >= 0) {
    response.declared_length = static_cast<std::uint64_t>(declared_length);
  }
  return response;
}

HttpResponse Encapsulate(const RelayReply& reply) {
  HttpResponse response;
  response.content_type = "application/msgpack";
  response.body = Encode(reply);
  return response;
}

}  // namespace snipeworks
