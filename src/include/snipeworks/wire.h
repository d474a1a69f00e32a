#ifndef SNIPEWORKS_WIRE_H_
#define SNIPEWORKS_WIRE_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>

#include <msgpack.hpp>

namespace snipeworks {

/// S is T or const T. A message defines its layout with
///   template <SameStruct<T> S> auto WireFields(S& v) { return std::tie(...); }
template <typename S, typename T>
concept SameStruct = std::same_as<std::remove_const_t<S>, T>;

/// A message: a struct with WireFields.
template <typename T>
concept WireMessage = requires(T& value) {
  WireFields(value);
};

/// The MessagePack form of a message.
template <typename T>
std::string Encode(const T& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// Decodes the MessagePack form; nullopt if it is malformed.
template <typename T>
std::optional<T> Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace snipeworks

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <snipeworks::WireMessage T>
  struct pack<T> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
      const auto fields = WireFields(value);
      constexpr auto kCount = std::tuple_size_v<decltype(fields)>;
      out.pack_array(static_cast<std::uint32_t>(kCount));
      std::apply([&](const auto&... field) { (out.pack(field), ...); }, fields);
      return out;
    }
  };

  template <snipeworks::WireMessage T>
  struct convert<T> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      T& value) const {
      auto fields = WireFields(value);
      constexpr auto kCount = std::tuple_size_v<decltype(fields)>;
      if (in.type != msgpack::type::ARRAY || in.via.array.size != kCount) {
        throw msgpack::type_error();
      }
      std::size_t index = 0;
      std::apply(
          [&](auto&... field) {
            ((in.via.array.ptr[index++].convert(field)), ...);
          },
          fields);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // SNIPEWORKS_WIRE_H_
