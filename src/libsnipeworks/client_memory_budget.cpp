#include "snipeworks/client_memory_budget.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A client that moves less between two looks at it makes no progress: one byte
// at a time must not look like an ordinary transfer.
constexpr std::size_t kProgressBytes = std::size_t{4} * 1024;
// Added to the time without progress, so that among clients that all make
// progress the one that holds most is turned away.
constexpr Duration kProgressGrace = milliseconds(1000);
// The allocator may retain this part of the limit, which saves it from asking
// the system again for what the next requests need.
constexpr std::size_t kRetainedDivisor = 8;
// Other memory of the process grows too and looks like retained memory. At most
// half of the limit is counted, so that ordinary clients are served regardless.
constexpr std::size_t kMaxRetainedDivisor = 2;
// While clients hold less than this part of the limit, the resident memory is
// taken for that of the process itself.
constexpr std::size_t kQuietDivisor = 16;

// Of clients with the same bytes the one longest without progress is turned
// away, of those with the same progress the one with the most bytes.
double WeightOf(std::size_t bytes, Duration without_progress) {
  return static_cast<double>(bytes) *
         std::chrono::duration<double>(without_progress + kProgressGrace)
             .count();
}

}  // namespace

ClientMemoryBudget::Account& ClientMemoryBudget::Open(Instant now) {
  Account& account = accounts_.emplace_back();
  account.id_ = next_++;
  account.position_ = std::prev(accounts_.end());
  account.moved_at_ = now;
  account.progress_at_ = now;
  Hold(account, kConnectionBytes);
  return account;
}

void ClientMemoryBudget::Close(Account& account) {
  held_bytes_ -= account.held_bytes_;
  accounts_.erase(account.position_);
}

void ClientMemoryBudget::Hold(Account& account, std::size_t bytes) {
  account.held_bytes_ += bytes;
  held_bytes_ += bytes;
}

void ClientMemoryBudget::Release(Account& account, std::size_t bytes) {
  account.held_bytes_ -= bytes;
  held_bytes_ -= bytes;
}

void ClientMemoryBudget::SetActivity(Instant now,
                                     Account& account,
                                     ClientActivity activity) {
  account.activity_ = activity;
  account.moved_at_ = now;
  account.progress_at_ = now;
  account.moved_bytes_ = 0;
}

void ClientMemoryBudget::OnMoved(Instant now,
                                 Account& account,
                                 std::size_t bytes) {
  account.moved_at_ = now;
  account.moved_bytes_ += bytes;
  if (account.moved_bytes_ >= kProgressBytes) {
    account.moved_bytes_ = 0;
    account.progress_at_ = now;
  }
}

bool ClientMemoryBudget::ExceedsMemory() const {
  return held_bytes_ + retained_bytes_ > limits_.max_bytes;
}

std::optional<ClientId> ClientMemoryBudget::NextForMemory(Instant now) const {
  if (!ExceedsMemory()) {
    return std::nullopt;
  }
  std::optional<ClientId> next;
  double most = 0;
  for (const Account& account : accounts_) {
    // An idle client holds only its connection: closing it frees little.
    if (account.activity_ != ClientActivity::kReceiving &&
        account.activity_ != ClientActivity::kSending) {
      continue;
    }
    const double weight =
        WeightOf(account.held_bytes_, now - account.progress_at_);
    if (weight > most) {
      most = weight;
      next = account.id_;
    }
  }
  return next;
}

std::optional<ClientId> ClientMemoryBudget::NextForConnection(
    Instant now) const {
  if (!IsFull()) {
    return std::nullopt;
  }
  std::optional<ClientId> next;
  Duration longest{-1};
  for (const Account& account : accounts_) {
    const Duration without_progress = now - account.progress_at_;
    if (account.activity_ != ClientActivity::kRunning &&
        without_progress > longest) {
      longest = without_progress;
      next = account.id_;
    }
  }
  return next;
}

bool ClientMemoryBudget::IsFull() const {
  return (limits_.max_connections > 0 &&
          accounts_.size() >= limits_.max_connections) ||
         held_bytes_ + kConnectionBytes > limits_.max_bytes;
}

void ClientMemoryBudget::SetRetained(std::size_t resident_bytes) {
  const std::size_t explained =
      own_bytes_.value_or(resident_bytes) + held_bytes_;
  retained_bytes_ =
      std::min(resident_bytes > explained ? resident_bytes - explained : 0,
               limits_.max_bytes / kMaxRetainedDivisor);
}

bool ClientMemoryBudget::IsQuiet() const {
  return held_bytes_ - accounts_.size() * kConnectionBytes <
         limits_.max_bytes / kQuietDivisor;
}

bool ClientMemoryBudget::OnResidentMemory(std::size_t resident_bytes) {
  SetRetained(resident_bytes);
  if (retained_bytes_ > limits_.max_bytes / kRetainedDivisor) {
    return true;
  }
  if (IsQuiet()) {
    own_bytes_ = resident_bytes - std::min(resident_bytes, held_bytes_);
    retained_bytes_ = 0;
  }
  return false;
}

void ClientMemoryBudget::OnMemoryReturned(std::size_t resident_bytes) {
  SetRetained(resident_bytes);
  if (IsQuiet()) {
    own_bytes_ = resident_bytes - std::min(resident_bytes, held_bytes_);
    retained_bytes_ = 0;
  }
}

}  // namespace snipeworks
