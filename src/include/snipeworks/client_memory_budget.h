#ifndef SNIPEWORKS_CLIENT_MEMORY_BUDGET_H_
#define SNIPEWORKS_CLIENT_MEMORY_BUDGET_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Identifies a client's connection; unique within a process.
using ClientId = std::uint64_t;

/// What a client's connection is in the middle of.
enum class ClientActivity : std::uint8_t {
  kIdle,       ///< No request, or the last response has been sent.
  kReceiving,  ///< A request that has not been read to its end.
  kRunning,    ///< A request whose response is awaited; never turned away.
  kSending,    ///< A response that the client has not read yet.
};

/// Limits on what all clients of a process hold together.
struct ClientLimits {
  /// Bytes of heads, bodies, pipelined requests, unsent responses, and a charge
  /// for each connection, including what the allocator retains of them.
  std::size_t max_bytes = std::size_t{48} * 1024 * 1024;
  /// Connections open at once; 0 for no limit.
  std::size_t max_connections = 0;

  friend auto operator<=>(const ClientLimits&, const ClientLimits&) = default;
};

/// Decides which clients are turned away so that all of them together, at all
/// listeners of a process, stay within limits. Does no I/O.
class ClientMemoryBudget {
 public:
  /// One client's account. Owned by the budget.
  class Account {
   public:
    ClientId id() const { return id_; }
    std::size_t held_bytes() const { return held_bytes_; }
    ClientActivity activity() const { return activity_; }
    /// When the client last sent or read anything.
    Instant moved_at() const { return moved_at_; }

   private:
    friend class ClientMemoryBudget;
    ClientId id_ = 0;
    std::size_t held_bytes_ = 0;
    std::size_t moved_bytes_ = 0;  // Since `progress_at_`.
    ClientActivity activity_ = ClientActivity::kIdle;
    Instant moved_at_{};
    Instant progress_at_{};
    std::list<Account>::iterator position_;
  };

  /// Memory that the budget charges for a connection itself.
  static constexpr std::size_t kConnectionBytes = std::size_t{4} * 1024;

  explicit ClientMemoryBudget(const ClientLimits& limits) : limits_(limits) {}

  const ClientLimits& limits() const { return limits_; }

  /// Opens the account of a new connection. It stays valid until Close.
  Account& Open(Instant now);
  void Close(Account& account);

  void Hold(Account& account, std::size_t bytes);
  void Release(Account& account, std::size_t bytes);
  /// Starts an activity, which counts as progress.
  void SetActivity(Instant now, Account& account, ClientActivity activity);
  /// The client has sent or read `bytes`.
  void OnMoved(Instant now, Account& account, std::size_t bytes);

  /// The client to turn away next for memory; none while all are within the
  /// limit, or if no client that may be turned away holds anything.
  std::optional<ClientId> NextForMemory(Instant now) const;
  /// The client to disconnect so that another can connect; none if there is
  /// room.
  std::optional<ClientId> NextForConnection(Instant now) const;
  /// Whether a new connection must be refused once nobody is left to turn away.
  bool IsFull() const;

  /// Takes the resident memory of the process. Returns true if the allocator
  /// should return free memory to the system; the result is to be given to
  /// OnMemoryReturned.
  bool OnResidentMemory(std::size_t resident_bytes);
  void OnMemoryReturned(std::size_t resident_bytes);

  std::size_t connections() const { return accounts_.size(); }
  std::size_t held_bytes() const { return held_bytes_; }
  /// What the allocator retains of the memory that clients held.
  std::size_t retained_bytes() const { return retained_bytes_; }

 private:
  /// True if requests and responses hold so little that the process's memory is
  /// its own. Connections are not counted: hundreds may stay open and idle.
  bool IsQuiet() const;
  bool ExceedsMemory() const;
  void SetRetained(std::size_t resident_bytes);

  ClientLimits limits_;
  std::list<Account> accounts_;
  ClientId next_ = 1;
  std::size_t held_bytes_ = 0;
  std::size_t retained_bytes_ = 0;
  // Resident memory of the process without what clients hold.
  std::optional<std::size_t> own_bytes_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CLIENT_MEMORY_BUDGET_H_
