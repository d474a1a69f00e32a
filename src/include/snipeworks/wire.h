#ifndef SNIPEWORKS_WIRE_H_
#define SNIPEWORKS_WIRE_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>

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

/// The number of trailing fields of T that earlier versions do not have. They
/// are left out of the encoded message while they have their default values, so
/// that earlier versions can decode it, and keep them if they are missing.
template <typename T>
inline constexpr std::size_t kOptionalWireFields = 0;

/// The number of fields of `value` that must be encoded: all but the trailing
/// optional ones that have their default values.
template <WireMessage T>
std::size_t EncodedFieldCount(const T& value) {
  constexpr auto kCount =
      std::tuple_size_v<decltype(WireFields(std::declval<const T&>()))>;
  constexpr std::size_t kOptional = kOptionalWireFields<T>;
  static_assert(kOptional <= kCount);
  if constexpr (kOptional == 0) {
    return kCount;
  } else {
    const T defaults{};
    const auto fields = WireFields(value);
    const auto default_fields = WireFields(defaults);
    std::size_t count = kCount - kOptional;
    [&]<std::size_t... I>(std::index_sequence<I...>) {
      ((count = std::get<kCount - kOptional + I>(fields) ==
                        std::get<kCount - kOptional + I>(default_fields)
                    ? count
                    : kCount - kOptional + I + 1),
       ...);
    }
    (std::make_index_sequence<kOptional>());
    return count;
  }
}

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
      const std::size_t count = snipeworks::EncodedFieldCount(value);
      out.pack_array(static_cast<std::uint32_t>(count));
      std::size_t index = 0;
      std::apply(
          [&](const auto&... field) {
            ((index++ < count ? (void)out.pack(field) : (void)0), ...);
          },
          fields);
      return out;
    }
  };

  template <snipeworks::WireMessage T>
  struct convert<T> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      T& value) const {
      auto fields = WireFields(value);
      constexpr auto kCount = std::tuple_size_v<decltype(fields)>;
      constexpr std::size_t kRequired =
          kCount - snipeworks::kOptionalWireFields<T>;
      const bool fits = in.type == msgpack::type::ARRAY &&
                        in.via.array.size >= kRequired &&
                        in.via.array.size <= kCount;
      if (!fits) {
        throw msgpack::type_error();
      }
      const std::size_t count = in.via.array.size;
      std::size_t index = 0;
      std::apply(
          [&](auto&... field) {
            ((index < count ? (void)in.via.array.ptr[index].convert(field)
                            : (void)0,
              ++index),
             ...);
          },
          fields);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // SNIPEWORKS_WIRE_H_
