#include "snipeworks/routing.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "snipeworks/announcement.h"
#include "snipeworks/text.h"

namespace snipeworks {

namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

// The line break cannot occur in a host name, so keys are unambiguous.
std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key = LowerCase(host);
  key += '\n';
  key += prefix;
  return key;
}

// Collects the items of `to` that are new or differ from those of `from`, and
// the names that `to` lacks. Returns false if a name occurs twice.
template <typename Named>
bool CollectChanges(const std::vector<Named>& from,
                    const std::vector<Named>& to,
                    std::vector<Named>& changed,
                    std::vector<std::string>& removed) {
  std::map<std::string_view, const Named*> old_items;
  for (const Named& item : from) {
    if (!old_items.emplace(item.name, &item).second) {
      return false;
    }
  }
  std::set<std::string_view> new_names;
  for (const Named& item : to) {
    if (!new_names.insert(item.name).second) {
      return false;
    }
    auto found = old_items.find(item.name);
    if (found == old_items.end() || *found->second != item) {
      changed.push_back(item);
    }
  }
  for (const Named& item : from) {
    if (!new_names.contains(item.name)) {
      removed.push_back(item.name);
    }
  }
  return true;
}

template <typename Named>
void ApplyChanges(std::vector<Named>& items,
                  const std::vector<Named>& changed,
                  const std::vector<std::string>& removed) {
  std::set<std::string_view> replaced(removed.begin(), removed.end());
  for (const Named& item : changed) {
    replaced.insert(item.name);
  }
  std::erase_if(
      items, [&](const Named& item) { return replaced.contains(item.name); });
  items.insert(items.end(), changed.begin(), changed.end());
}

Result<void> Validate(const Route& route,
                      const std::set<std::string>& known_groups) {
  const std::string where = "route " + route.name + ": ";
  std::vector<std::string> group_names = route.shards.names();
  std::uint64_t total_weight = 0;
  for (const WeightedGroup& item : route.groups) {
    group_names.push_back(item.group);
    total_weight += item.weight;
  }
  if (group_names.empty()) {
    return Fail(ErrorKind::kBadRequest, where + "names no group");
  }
  for (const std::string& group : group_names) {
    if (!known_groups.contains(group)) {
      std::string reason = where;
      reason += "names the unknown group ";
      reason += group;
      return Fail(ErrorKind::kBadRequest, std::move(reason));
    }
  }
  if (!route.groups.empty() && total_weight == 0) {
    return Fail(ErrorKind::kBadRequest, where + "weights add up to 0");
  }
  if (route.timeout_ms <= 0) {
    return Fail(ErrorKind::kBadRequest, where + "has no timeout");
  }
  return {};
}

// Blanks at the ends of a header's value are not part of it.
bool IsHeaderText(std::string_view text) {
  return !text.empty() && IsPrintable(text) && text.front() != ' ' &&
         text.back() != ' ';
}

// Reasons name customers only by valid names, and never contain a key.
Result<void> Validate(const std::vector<Customer>& customers) {
  std::set<std::string_view> names;
  std::unordered_map<std::string_view, const Customer*> owners;
  for (const Customer& customer : customers) {
    if (auto valid = ValidateName("customer", customer.name); !valid) {
      return valid;
    }
    const std::string where = "customer " + customer.name + ": ";
    if (!IsHeaderText(customer.name)) {
      return Fail(ErrorKind::kBadRequest,
                  where + "the name begins or ends with a blank");
    }
    if (!names.insert(customer.name).second) {
      return Fail(ErrorKind::kBadRequest,
                  where + "another customer has the same name");
    }
    for (const std::string& key : customer.keys) {
      if (!IsHeaderText(key)) {
        return Fail(ErrorKind::kBadRequest,
                    where + "a key is empty or cannot stand in a header");
      }
      const auto [owner, is_new] = owners.emplace(key, &customer);
      if (!is_new && owner->second != &customer) {
        return Fail(
            ErrorKind::kBadRequest,
            where + "shares a key with customer " + owner->second->name);
      }
    }
  }
  return {};
}

}  // namespace

Result<void> Validate(const Routing& routing) {
  std::set<std::string> known_groups;
  for (const GroupSpec& group : routing.groups) {
    known_groups.insert(group.name);
  }
  std::set<std::string> keys;
  for (const Route& route : routing.routes) {
    if (auto valid = Validate(route, known_groups); !valid) {
      return valid;
    }
    if (!keys.insert(RouteKey(route.host, route.path_prefix)).second) {
      return Fail(ErrorKind::kBadRequest,
                  "route " + route.name +
                      ": another route has the same host name and path prefix");
    }
  }
  return Validate(routing.customers);
}

std::optional<RoutingChange> DiffRouting(const Routing& from,
                                         const Routing& to) {
  RoutingChange change;
  change.from = from.version;
  change.version = to.version;
  change.limits = to.limits;
  const bool unique =
      CollectChanges(from.routes, to.routes, change.routes,
                     change.removed_routes) &&
      CollectChanges(from.groups, to.groups, change.groups,
                     change.removed_groups) &&
      CollectChanges(from.customers, to.customers, change.customers,
                     change.removed_customers);
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
  ApplyChanges(changed.routes, change.routes, change.removed_routes);
  ApplyChanges(changed.groups, change.groups, change.removed_groups);
  ApplyChanges(changed.customers, change.customers, change.removed_customers);
  return changed;
}

RouteTable::RouteTable(Routing routing) : routing_(std::move(routing)) {
  for (const Route& route : routing_.routes) {
    routes_by_prefix_[RouteKey(route.host, route.path_prefix)] = &route;
  }
  for (const GroupSpec& group : routing_.groups) {
    groups_by_name_[group.name] = &group;
  }
}

// Prefixes end with a slash, so only the parts of `path` up to a slash can
// match; they are tried from the longest on.
const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  std::string key = RouteKey(host.substr(0, host.find(':')), path);
  const std::size_t start = key.size() - path.size();
  for (auto slash = key.rfind('/');
       slash != std::string::npos && slash >= start;
       slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
    key.resize(slash + 1);
    auto found = routes_by_prefix_.find(key);
    if (found != routes_by_prefix_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const GroupSpec* RouteTable::FindGroup(std::string_view group) const {
  auto found = groups_by_name_.find(std::string(group));
  return found == groups_by_name_.end() ? nullptr : found->second;
}

}  // namespace snipeworks
