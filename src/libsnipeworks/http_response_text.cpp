#include "http_response_text.h"

#include <http_parser.h>

namespace snipeworks {

namespace {

const char* ReasonPhrase(int status) {
  switch (status) {
#define SNIPEWORKS_REASON(number, name, text) \
  case number:                                \
    return #text;
    HTTP_STATUS_MAP(SNIPEWORKS_REASON)
#undef SNIPEWORKS_REASON
    default:
      return "Unknown";
  }
}

bool HasNoBody(int status) {
  return status < 200 || status == 204 || status == 304;
}

}  // namespace

std::string ResponseText(const HttpResponse& response,
                         bool close,
                         bool is_head_method) {
  std::string text;
  text.reserve(256 + response.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(response.status);
  text += ' ';
  text += ReasonPhrase(response.status);
  text += "\r\n";
  if (!response.content_type.empty()) {
    text += "Content-Type: " + response.content_type + "\r\n";
  }
  for (const HttpHeader& header : response.headers) {
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  if (!HasNoBody(response.status)) {
    text += "Content-Length: ";
    text +=
        std::to_string(response.declared_length.value_or(response.body.size()));
    text += "\r\n";
  }
  if (close) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  if (!is_head_method && !HasNoBody(response.status)) {
    text += response.body;
  }
  return text;
}

}  // namespace snipeworks
