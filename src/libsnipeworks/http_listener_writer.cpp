#include "http_listener_writer.h"

#include <uv.h>

#include <utility>

namespace snipeworks {

namespace {

struct QueuedWrite {
  uv_write_t request;
  std::string bytes;
  WrittenCallback on_written;
};

}  // namespace

bool WriteOrQueue(ListenerConnection& connection,
                  std::string bytes,
                  WrittenCallback on_written) {
  auto* stream = reinterpret_cast<uv_stream_t*>(&connection.handle);
  uv_buf_t buffer =
      uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
  const int written = uv_try_write(stream, &buffer, 1);
  if (written == static_cast<int>(bytes.size())) {
    return true;
  }
  if (written < 0 && written != UV_EAGAIN) {
    return false;
  }
  auto* write = new QueuedWrite{{}, std::move(bytes), on_written};
  write->request.data = write;
  const std::size_t done = written > 0 ? static_cast<std::size_t>(written) : 0;
  buffer = uv_buf_init(write->bytes.data() + done,
                       static_cast<unsigned>(write->bytes.size() - done));
  const int queued = uv_write(
      &write->request, stream, &buffer, 1, [](uv_write_t* request, int error) {
        auto* written = static_cast<QueuedWrite*>(request->data);
        auto& writer = *static_cast<ListenerConnection*>(request->handle->data);
        if (!writer.closing) {
          written->on_written(writer, written->bytes.size(), error != 0);
        }
        delete written;
      });
  if (queued != 0) {
    delete write;
    return false;
  }
  connection.HoldUnsent(write->bytes.size());
  connection.queued_bytes = connection.WriteQueueBytes();
  return true;
}

}  // namespace snipeworks
