#ifndef SNIPEWORKS_GROUP_SET_H_
#define SNIPEWORKS_GROUP_SET_H_

#include <compare>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace snipeworks {

/// Names of service groups, each once, in the order of their first mention.
/// Immutable. Encoded as a list of names; decoding a list that repeats a name
/// is not an error.
class GroupSet {
 public:
  GroupSet() = default;

  /// Drops every mention of a name but the first.
  static GroupSet Of(std::vector<std::string> names);

  const std::vector<std::string>& names() const { return names_; }
  std::size_t size() const { return names_.size(); }
  bool empty() const { return names_.empty(); }

  friend auto operator<=>(const GroupSet&, const GroupSet&) = default;

 private:
  explicit GroupSet(std::vector<std::string> names)
      : names_(std::move(names)) {}

  std::vector<std::string> names_;
};

}  // namespace snipeworks

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <>
  struct pack<snipeworks::GroupSet> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const snipeworks::GroupSet& value) const {
      return out.pack(value.names());
    }
  };

  template <>
  struct convert<snipeworks::GroupSet> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      snipeworks::GroupSet& value) const {
      value = snipeworks::GroupSet::Of(in.as<std::vector<std::string>>());
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // SNIPEWORKS_GROUP_SET_H_
