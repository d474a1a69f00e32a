#include "snipeworks/search_controller.h"

#include <utility>

#include "search_engine.h"

namespace snipeworks {

SearchController::SearchController(SearchControllerConfig config)
    : impl_(std::make_unique<SearchEngine>(std::move(config))) {}

SearchController::~SearchController() = default;

void SearchController::SetConnectionLimit(const std::string& group,
                                          std::uint32_t limit) {
  impl_->selector().SetConnectionLimit(group, limit);
}

void SearchController::SetFleetHosts(Instant now, std::uint32_t hosts) {
  impl_->SetFleetHosts(now, hosts);
}

void SearchController::ApplySettings(const FleetSettings& settings) {
  impl_->ApplySettings(settings);
}

AnnounceResult SearchController::Announce(Instant now,
                                          const Announcement& announcement,
                                          Duration age,
                                          Duration uptime) {
  return impl_->Announce(now, announcement, age, uptime);
}

void SearchController::SetColdLimits(Instant now, StringMap<ColdLimit> limits) {
  impl_->selector().SetColdLimits(now, std::move(limits));
}

void SearchController::SetEvacuatedZones(std::vector<std::string> zones) {
  impl_->SetEvacuatedZones(std::move(zones));
}

void SearchController::Submit(Instant now, const SearchRequest& request) {
  impl_->Submit(now, request);
}

void SearchController::OnCallerDisconnected(Instant now, RequestId request) {
  impl_->OnCallerDisconnected(now, request);
}

void SearchController::GiveUp(Instant now, RequestId request, Error error) {
  impl_->GiveUp(now, request, std::move(error));
}

std::optional<std::int64_t> SearchController::MostAttempts(
    RequestId request) const {
  return impl_->MostAttempts(request);
}

void SearchController::RepeatUntil(Instant until) {
  impl_->RepeatUntil(until);
}

void SearchController::ForbidRepeats(RequestId request) {
  impl_->ForbidRepeats(request);
}

bool SearchController::TakeExtraAttempts(Instant now, const SearchPlan& plan) {
  return impl_->TakeExtraAttempts(now, plan);
}

bool SearchController::TakeExtraAttempts(Instant now,
                                         const std::string& group) {
  return impl_->TakeExtraAttempts(now, group);
}

void SearchController::OnOutcome(Instant now,
                                 AttemptId attempt,
                                 const AttemptOutcome& outcome) {
  impl_->OnOutcome(now, attempt, outcome);
}

void SearchController::OnProbe(Instant now,
                               AttemptId attempt,
                               ProbeState state) {
  impl_->OnProbe(now, attempt, state);
}

void SearchController::OnConditions(
    Instant now,
    const std::vector<TargetCondition>& conditions) {
  impl_->selector().OnConditions(now, conditions);
}

std::vector<ConditionSample> SearchController::TakeSamples() {
  return impl_->selector().TakeSamples();
}

bool SearchController::OnEvidence(Instant now, const PoisonEvidence& evidence) {
  return impl_->OnEvidence(now, evidence);
}

void SearchController::OnEvidenceShared(Instant now,
                                        Fingerprint fingerprint,
                                        bool running_elsewhere) {
  impl_->OnEvidenceShared(now, fingerprint, running_elsewhere);
}

Result<ActionTarget> SearchController::AcquireTarget(
    Instant now,
    const ActionTargetQuery& query,
    const std::vector<std::string>& tried) {
  return impl_->AcquireTarget(now, query, tried);
}

void SearchController::ReleaseTarget(Instant now,
                                     const ActionTargetQuery& query,
                                     const ActionTarget& target,
                                     const AttemptOutcome& outcome,
                                     Duration latency) {
  impl_->ReleaseTarget(now, query, target, outcome, latency);
}

void SearchController::Tick(Instant now) {
  impl_->Tick(now);
}

std::optional<Instant> SearchController::NextDue() const {
  return impl_->NextDue();
}

std::vector<SearchAction> SearchController::TakeActions() {
  return impl_->TakeActions();
}

std::vector<PoisonEvidence> SearchController::Evidence(Instant now) const {
  return impl_->Evidence(now);
}

std::vector<Fingerprint> SearchController::Quarantined(Instant now) const {
  return impl_->poison().Quarantined(now);
}

bool SearchController::Release(Fingerprint fingerprint) {
  return impl_->poison().Release(fingerprint);
}

const TargetView& SearchController::view() const {
  return impl_->view();
}

Duration SearchController::SlowLatency(const std::string& group) const {
  return impl_->SlowLatency(group);
}

std::size_t SearchController::CountLimitedTargets() const {
  return impl_->selector().CountLimited();
}

std::size_t SearchController::CountColdTargets(Instant now) const {
  return impl_->selector().CountCold(now);
}

std::uint32_t SearchController::ConnectionShare(
    const Announcement& target) const {
  return impl_->selector().ConnectionShare(target);
}

InFlightAttempt SearchController::FindAttempt(AttemptId attempt) const {
  return impl_->FindAttempt(attempt);
}

std::size_t SearchController::running() const {
  return impl_->running();
}

std::size_t SearchController::waiting() const {
  return impl_->waiting();
}

}  // namespace snipeworks
