#ifndef SNIPEWORKS_LIBSNIPEWORKS_MODEL_QUOTA_FLEET_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_MODEL_QUOTA_FLEET_TEST_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "snipeworks/quota_allocator.h"
#include "snipeworks/quota_limiter.h"
#include "snipeworks/random.h"

namespace snipeworks {

inline constexpr std::size_t kHosts = 66;
inline constexpr std::size_t kCustomers = 76;
inline constexpr std::size_t kLargeCustomers = 6;
inline constexpr std::size_t kMediumCustomers = 10;
inline constexpr double kUsualDemand = 1.0 / 1.6;
inline constexpr Duration kStep = std::chrono::milliseconds(1);
inline constexpr Duration kElection = std::chrono::milliseconds(1200);

inline std::string CustomerName(std::size_t index) {
  return "customer" + std::to_string(index);
}

inline std::string HostName(std::size_t index) {
  return "host" + std::to_string(index);
}

// Six large customers, ten medium ones and sixty small ones.
inline Quota QuotaOf(std::size_t customer) {
  if (customer < kLargeCustomers) {
    return {43.0, 43.0};
  }
  if (customer < kLargeCustomers + kMediumCustomers) {
    return {10.0, 10.0};
  }
  return customer % 2 == 0 ? Quota{1.0, 1.0} : Quota{2.0, 2.0};
}

inline Routing RoutingWithQuotas(
    std::uint64_t version,
    const std::function<Quota(std::size_t)>& quota) {
  Routing routing;
  routing.version = version;
  for (std::size_t i = 0; i < kCustomers; ++i) {
    Customer customer;
    customer.name = CustomerName(i);
    customer.requests_per_second = quota(i).requests_per_second;
    customer.burst = quota(i).burst;
    routing.customers.push_back(customer);
  }
  return routing;
}

struct QuotaTally {
  std::uint64_t requests = 0;
  std::uint64_t admitted = 0;
  std::uint64_t within_quota = 0;  ///< Admitted by one exact token bucket.
  /// Of those, refused with 429 and 503.
  std::uint64_t wrongly_exceeded = 0;
  std::uint64_t wrongly_without_contact = 0;

  QuotaTally& operator+=(const QuotaTally& other) {
    requests += other.requests;
    admitted += other.admitted;
    within_quota += other.within_quota;
    wrongly_exceeded += other.wrongly_exceeded;
    wrongly_without_contact += other.wrongly_without_contact;
    return *this;
  }
};

// One exact token bucket: what a single host would admit.
struct ExactQuotaBucket {
  double tokens = 0.0;
  Instant at{};

  bool Take(Instant now, const Quota& quota) {
    const double elapsed = std::chrono::duration<double>(now - at).count();
    at = now;
    tokens =
        std::min(quota.burst, tokens + elapsed * quota.requests_per_second);
    if (tokens < 1.0) {
      return false;
    }
    tokens -= 1.0;
    return true;
  }
};

// Entry hosts, the leader of the control hosts and the messages between them,
// with delays, losses and failures.
class ModelQuotaFleet {
 public:
  explicit ModelQuotaFleet(std::uint64_t seed) : random_(seed) {
    routing_ = RoutingWithQuotas(1, QuotaOf);
    hosts_.resize(kHosts);
    customers_.resize(kCustomers);
    for (std::size_t i = 0; i < kHosts; ++i) {
      StartHost(i);
    }
    Lead(true);
    Run(std::chrono::seconds(3), false);
  }

  // Runs for a time, with requests of all customers.
  void Run(Duration duration, bool with_requests = true) {
    const Instant end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      Step(with_requests);
    }
  }

  Instant now() const { return now_; }
  Random& random() { return random_; }

  // Times the usual demand.
  void SetDemand(std::size_t customer, double factor) {
    customers_[customer].factor = factor;
  }
  // All requests of the customer arrive at these hosts; empty for all hosts.
  void SetArrival(std::size_t customer, std::vector<std::size_t> hosts) {
    customers_[customer].hosts = std::move(hosts);
  }

  void Kill(std::size_t host) { hosts_[host].limiter.reset(); }
  void StartHost(std::size_t host) {
    ModelHost& started = hosts_[host];
    started.limiter = std::make_unique<QuotaLimiter>(
        HostName(host), ++last_epoch_, QuotaBounds{});
    started.limiter->SetQuotas(now_, routing_);
    started.arrived.clear();
    started.frozen = false;
    ++started.start;
  }
  void Freeze(std::size_t host, bool frozen) { hosts_[host].frozen = frozen; }
  // Loses all messages of a host, or only those to it.
  void Partition(std::size_t host, bool reports, bool grants) {
    hosts_[host].reports_lost = reports;
    hosts_[host].grants_lost = grants;
  }
  bool Disturbed(std::size_t host) const {
    const ModelHost& h = hosts_[host];
    return !h.limiter || h.frozen || h.reports_lost || h.grants_lost;
  }

  // The leader answers no more; another one leads after an election.
  void LoseLeader() {
    leader_.reset();
    lead_at_ = now_ + kElection;
  }
  // All hosts end and start again within a second; control hosts know nothing.
  void LosePower() {
    leader_.reset();
    lead_at_ = now_ + std::chrono::milliseconds(1200);
    empty_registry_ = true;
    for (std::size_t i = 0; i < kHosts; ++i) {
      Kill(i);
      After(std::chrono::milliseconds(300 + random_.Below(700)),
            [this, i] { StartHost(i); });
    }
  }

  // A new version, which the hosts and the leader get within 500 ms.
  // A customer whose rate is 0 has no quota.
  void SetQuotas(const std::function<Quota(std::size_t)>& quota) {
    routing_ = RoutingWithQuotas(routing_.version + 1, quota);
    for (std::size_t i = 0; i < kHosts; ++i) {
      After(std::chrono::milliseconds(random_.Below(500)),
            [this, i, routing = routing_] {
              if (hosts_[i].limiter) {
                hosts_[i].limiter->SetQuotas(now_, routing);
              }
            });
    }
    After(std::chrono::milliseconds(random_.Below(500)),
          [this, routing = routing_] {
            if (leader_) {
              leader_->SetQuotas(now_, routing);
            }
          });
  }

  void After(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++last_event_, std::move(run)});
  }

  const QuotaTally& tally(std::size_t customer) const {
    return customers_[customer].tally;
  }
  QuotaTally Total() const {
    QuotaTally total;
    for (const ModelCustomer& customer : customers_) {
      total += customer.tally;
    }
    return total;
  }
  void ResetTallies() {
    for (ModelCustomer& customer : customers_) {
      customer.tally = {};
    }
  }

  // The largest share of its bound that a customer used in any window that
  // began at `from` or later.
  double WorstWindow(Instant from = Instant{}) const {
    double worst = 0.0;
    const QuotaBounds bounds;
    const Duration window = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(bounds.window_s));
    for (std::size_t i = 0; i < kCustomers; ++i) {
      const Customer& customer = routing_.customers[i];
      const double most =
          bounds.Max({customer.requests_per_second, customer.burst});
      const std::vector<Instant>& admitted = customers_[i].admitted;
      auto begin = std::ranges::lower_bound(admitted, from);
      for (auto end = begin; end != admitted.end(); ++end) {
        while (*end - *begin > window) {
          ++begin;
        }
        worst = std::max(worst, static_cast<double>(end - begin + 1) / most);
      }
    }
    return worst;
  }

  std::uint64_t reports() const { return reports_; }
  std::uint64_t report_bytes() const { return report_bytes_; }
  std::uint64_t grant_bytes() const { return grant_bytes_; }
  QuotaAllocator* leader() { return leader_.get(); }

 private:
  struct ModelHost {
    std::unique_ptr<QuotaLimiter> limiter;  ///< Null while the host is down.
    int start = 0;
    bool frozen = false;
    bool reports_lost = false;
    bool grants_lost = false;
    std::deque<std::function<void()>> arrived;  ///< While it is frozen.
  };
  struct ModelCustomer {
    double factor = 1.0;
    std::vector<std::size_t> hosts;
    Instant next{};
    ExactQuotaBucket exact;
    std::vector<Instant> admitted;
    QuotaTally tally;
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Lead(bool empty_registry) {
    leader_ = std::make_unique<QuotaAllocator>(QuotaBounds{});
    std::vector<std::string> known;
    for (std::size_t i = 0; i < kHosts && !empty_registry; ++i) {
      known.push_back(HostName(i));
    }
    leader_->BeginLeading(now_, ++term_, known);
    leader_->SetQuotas(now_, routing_);
  }

  // One way between two hosts, with a busy receiver now and then.
  Duration Delay() {
    const bool busy = random_.Below(20) == 0;
    return Duration(300 + random_.Below(5000) +
                    (busy ? random_.Below(30000) : 0));
  }

  void Deliver(std::size_t index, int start, std::function<void()> run) {
    ModelHost& host = hosts_[index];
    if (!host.limiter || host.start != start) {
      return;
    }
    if (host.frozen) {
      host.arrived.push_back(std::move(run));
    } else {
      run();
    }
  }

  void Send(std::size_t index) {
    ModelHost& host = hosts_[index];
    const QuotaReport report = host.limiter->TakeReport(now_);
    const int start = host.start;
    ++reports_;
    report_bytes_ += Encode(report).size();
    if (!host.reports_lost) {
      After(Delay(), [this, index, start, report] {
        if (!leader_) {
          return;
        }
        const QuotaGrant grant = leader_->OnReport(now_, report);
        grant_bytes_ += Encode(grant).size();
        if (hosts_[index].grants_lost) {
          return;
        }
        After(Delay(), [this, index, start, grant] {
          Deliver(index, start, [this, index, grant] {
            hosts_[index].limiter->OnGrant(now_, grant);
          });
        });
      });
    }
    After(kQuotaMaxRoundTrip, [this, index, start, serial = report.serial] {
      Deliver(index, start, [this, index, serial] {
        // The shell's call fails if it was not answered by now.
        hosts_[index].limiter->OnReportLost(now_, serial);
      });
    });
  }

  void Step(bool with_requests) {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    if (!leader_ && now_ >= lead_at_) {
      Lead(std::exchange(empty_registry_, false));
    }
    if (leader_ && (now_.time_since_epoch() / kStep) % 100 == 0) {
      leader_->Tick(now_);
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      ModelHost& host = hosts_[i];
      if (!host.limiter || host.frozen) {
        continue;
      }
      for (const auto& run : std::exchange(host.arrived, {})) {
        run();
      }
      const auto due = host.limiter->NextReport();
      if (due && *due <= now_) {
        Send(i);
      }
    }
    for (std::size_t i = 0; i < kCustomers && with_requests; ++i) {
      Arrivals(i);
    }
  }

  void Arrivals(std::size_t index) {
    ModelCustomer& customer = customers_[index];
    const double rate =
        QuotaOf(index).requests_per_second * kUsualDemand * customer.factor;
    while (customer.next <= now_) {
      if (customer.next != Instant{}) {
        Request(index);
      }
      const double wait = -std::log(1.0 - random_.Unit()) / rate;
      customer.next = std::max(customer.next, now_ - kStep) +
                      Duration(static_cast<std::int64_t>(wait * 1e6));
    }
  }

  void Request(std::size_t index) {
    ModelCustomer& customer = customers_[index];
    const auto draw = [&] {
      return customer.hosts.empty()
                 ? random_.Below(kHosts)
                 : customer.hosts[random_.Below(customer.hosts.size())];
    };
    std::size_t host = draw();
    for (int i = 0; i < 20 && !Serves(host); ++i) {
      host = i < 3 ? draw() : random_.Below(kHosts);
    }
    if (!Serves(host)) {
      return;
    }
    const QuotaDecision decision =
        hosts_[host].limiter->Take(now_, CustomerName(index));
    const Customer& settings = routing_.customers[index];
    const bool within = customer.exact.Take(
        now_, {settings.requests_per_second, settings.burst});
    ++customer.tally.requests;
    customer.tally.within_quota += within ? 1 : 0;
    if (decision.outcome == QuotaDecision::Outcome::kAdmitted) {
      ++customer.tally.admitted;
      customer.admitted.push_back(now_);
    } else if (within) {
      ++(decision.outcome == QuotaDecision::Outcome::kExceeded
             ? customer.tally.wrongly_exceeded
             : customer.tally.wrongly_without_contact);
    }
  }

  bool Serves(std::size_t host) const {
    return hosts_[host].limiter && !hosts_[host].frozen;
  }

  Random random_;
  Instant now_{std::chrono::seconds(1000)};
  Routing routing_;
  std::vector<ModelHost> hosts_;
  std::vector<ModelCustomer> customers_;
  std::unique_ptr<QuotaAllocator> leader_;
  Instant lead_at_{};
  bool empty_registry_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t last_epoch_ = 0;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t reports_ = 0;
  std::uint64_t report_bytes_ = 0;
  std::uint64_t grant_bytes_ = 0;
};

inline void PrintQuotas(const char* name, const ModelQuotaFleet& fleet) {
  const QuotaTally total = fleet.Total();
  std::cout << name << ": requests " << total.requests << " admitted "
            << total.admitted << " within quota " << total.within_quota
            << " wrongly 429 " << total.wrongly_exceeded << " wrongly 503 "
            << total.wrongly_without_contact << " worst window "
            << fleet.WorstWindow() << "\n";
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_MODEL_QUOTA_FLEET_TEST_H_
