#include "snipeworks/routing.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <utility>

namespace snipeworks {

namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

// A line break cannot be part of a host name.
std::string PlaceOf(std::string_view host, std::string_view prefix) {
  std::string place = LowerCase(host);
  place += '\n';
  place += prefix;
  return place;
}

// Collects what `to` has that `from` has not, or has otherwise, and the names
// that `to` lacks. Returns false if a name stands twice.
template <typename Named>
bool Compare(const std::vector<Named>& from,
             const std::vector<Named>& to,
             std::vector<Named>& changed,
             std::vector<std::string>& gone) {
  std::map<std::string_view, const Named*> before;
  for (const Named& one : from) {
    if (!before.emplace(one.name, &one).second) {
      return false;
    }
  }
  std::set<std::string_view> after;
  for (const Named& one : to) {
    if (!after.insert(one.name).second) {
      return false;
    }
    auto found = before.find(one.name);
    if (found == before.end() || *found->second != one) {
      changed.push_back(one);
    }
  }
  for (const Named& one : from) {
    if (!after.contains(one.name)) {
      gone.push_back(one.name);
    }
  }
  return true;
}

template <typename Named>
void Replace(std::vector<Named>& all,
             const std::vector<Named>& changed,
             const std::vector<std::string>& gone) {
  std::set<std::string_view> dropped(gone.begin(), gone.end());
  for (const Named& one : changed) {
    dropped.insert(one.name);
  }
  std::erase_if(all,
                [&](const Named& one) { return dropped.contains(one.name); });
  all.insert(all.end(), changed.begin(), changed.end());
}

Result<void> Validate(const Route& route, const std::set<std::string>& known) {
  const std::string where = "route " + route.name + ": ";
  std::vector<std::string> named = route.shards;
  std::uint64_t weights = 0;
  for (const WeightedGroup& one : route.groups) {
    named.push_back(one.group);
    weights += one.weight;
  }
  if (named.empty()) {
    return Fail(ErrorKind::kBadRequest, where + "names no group");
  }
  for (const std::string& group : named) {
    if (!known.contains(group)) {
      std::string reason = where;
      reason += "names the unknown group ";
      reason += group;
      return Fail(ErrorKind::kBadRequest, std::move(reason));
    }
  }
  if (!route.groups.empty() && weights == 0) {
    return Fail(ErrorKind::kBadRequest, where + "weights add up to 0");
  }
  if (route.timeout_ms <= 0) {
    return Fail(ErrorKind::kBadRequest, where + "has no timeout");
  }
  return {};
}

}  // namespace

Result<void> Validate(const Routing& routing) {
  std::set<std::string> known;
  for (const GroupSpec& group : routing.groups) {
    known.insert(group.name);
  }
  std::set<std::string> places;
  for (const Route& route : routing.routes) {
    if (auto valid = Validate(route, known); !valid) {
      return valid;
    }
    if (!places.insert(PlaceOf(route.host, route.path_prefix)).second) {
      return Fail(ErrorKind::kBadRequest,
                  "route " + route.name + ": another has the same place");
    }
  }
  return {};
}

std::optional<RoutingChange> DiffRouting(const Routing& from,
                                         const Routing& to) {
  RoutingChange change;
  change.from = from.version;
  change.version = to.version;
  change.limits = to.limits;
  const bool unique =
      Compare(from.routes, to.routes, change.routes, change.gone_routes) &&
      Compare(from.groups, to.groups, change.groups, change.gone_groups);
  return unique ? std::optional(std::move(change)) : std::nullopt;
}

std::optional<Routing> ApplyRoutingChange(const Routing& routing,
                                          const RoutingChange& change) {
  if (routing.version != change.from) {
    return std::nullopt;
  }
  Routing changed = routing;
  changed.version = change.version;
  changed.limits = change.limits;
  Replace(changed.routes, change.routes, change.gone_routes);
  Replace(changed.groups, change.groups, change.gone_groups);
  return changed;
}

RouteTable::RouteTable(Routing routing) : routing_(std::move(routing)) {
  for (const Route& route : routing_.routes) {
    by_place_[PlaceOf(route.host, route.path_prefix)] = &route;
  }
  for (const GroupSpec& group : routing_.groups) {
    groups_[group.name] = &group;
  }
}

// Prefixes end with a slash, so only those of `path` can match; the longest
// comes first.
const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  std::string place = PlaceOf(host.substr(0, host.find(':')), path);
  const std::size_t start = place.size() - path.size();
  for (auto slash = place.rfind('/');
       slash != std::string::npos && slash >= start;
       slash = slash == 0 ? std::string::npos : place.rfind('/', slash - 1)) {
    place.resize(slash + 1);
    auto found = by_place_.find(place);
    if (found != by_place_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const GroupSpec* RouteTable::FindGroup(std::string_view group) const {
  auto found = groups_.find(std::string(group));
  return found == groups_.end() ? nullptr : found->second;
}

}  // namespace snipeworks
