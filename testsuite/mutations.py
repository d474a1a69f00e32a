"""Shows that tests fail without the mechanism they are for: mutations.py [NAME...]

Each mutation takes one mechanism out of a scratch copy of the sources, builds it
there, and expects the named tests to fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile

SOURCE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIB = "src/libsnipeworks/"

# name, file, text, replacement, tests that must fail
MUTATIONS = [
    ("contact-silence", LIB + "target_contact.cpp",
     "return overdue_targets_.size() >= enough;", "return false;", "LostTargets.SilenceOfAll*"),
    ("contact-tested", LIB + "target_contact.cpp",
     "  state_ = ContactState::kSuspected;\n", "  state_ = ContactState::kLost;\n",
     "LostTargets.TargetsThatAllPause*:LostTargets.TargetsOfOneGroup*"),
    ("relays-spread", LIB + "entry_host_registry.cpp",
     "auto next = ring.upper_bound(HashOf(host));", "auto next = ring.begin();",
     "EntryHostRegistries.NameSomeRelays*"),
    ("coverage-from-manifest", LIB + "search_run.cpp",
     "coverage.documents_total = snapshot_->manifest.documents();",
     "coverage.documents_total = coverage.parts_answered;", "Search.PartWithoutReplica*"),
    ("echoed-snapshot", LIB + "search_outcomes.cpp",
     "const bool matches = outcome.snapshot == search.snapshot().id() &&",
     "const bool matches = outcome.documents > 0 &&", "Search.AnswerOfAnother*"),
    ("replan", LIB + "search_flow.cpp",
     "const bool possible = !search.repinned && snapshot &&",
     "const bool possible = false && !search.repinned && snapshot &&",
     "Search.RestartsOnce*"),
    ("lease-age", LIB + "target_view.cpp", "const Instant heard_at = now - age;",
     "const Instant heard_at = now - age * 0;", "Leases.*"),
    ("old-sequence", LIB + "target_view.cpp", "if (announcement.IsNewerThan(record.announcement)) {",
     "if (true) {", "Leases.*:Views.*"),
    ("draining-final", LIB + "target_view.cpp",
     "  if (was_draining) {", "  if (was_draining && false) {", "Draining.*"),
    ("draining-over-reports", LIB + "target_view.cpp", "  if (newly_draining) {", "  if (false) {",
     "Draining.IsAcceptedFrom*"),
    ("drained-after-restart", LIB + "target_directory.cpp",
     "  drained.state = TargetState::kDraining;\n  Apply(now, drained);\n",
     "  drained.state = TargetState::kDraining;\n", "Directories.LearnDrainedTargets*"),
    ("leaving-decoded", LIB + "forward_gateway.cpp",
     "outcome.draining = result.Header(names.leaving) == names.leaving_value;",
     "outcome.draining = false;", "ForwardOutcomes.ReadTheLeavingHeader*"),
    ("leaving", LIB + "search_outcomes.cpp",
     "if (outcome.draining) {", "if (false) {", "DrainingTargets.*"),
    ("left-alone", LIB + "target_stats.cpp", "if (outcome.retry_after > Duration{}) {", "if (false) {",
     "RetryAfter.*"),
    ("left-alone-told", LIB + "search_flow.cpp",
     "if (!choice.retry_at || *choice.retry_at < search->AnswerBy()) {", "if (true) {",
     "RetryAfter.CallersAreRefused*"),
    ("unsent-withdrawn", LIB + "forward_gateway.cpp", "      client_.AbortUnsent(running.call);\n", "",
     "ForwardGateways.CancelAttempts*"),
    ("answers-held", LIB + "http_client.cpp",
     "while (buffered_bytes_ > limits_.max_buffered_bytes) {", "while (false) {",
     "HttpClients.BufferNoMore*"),
    ("answer-size", LIB + "http_client.cpp",
     "transfer.received_bytes > limits_.max_response_bytes ||", "false ||",
     "Bytes/EndlessResponses*"),
    ("accept-queue", LIB + "http_listener.cpp",
     "    AcceptQueuedConnections();\n", "", "Listeners.AnswerRequestsSent*"),
    ("first-request", LIB + "http_listener.cpp", "return !received_any && !lingering &&",
     "return false && !received_any && !lingering &&", "Listeners.AnswerRequestsSent*"),
    ("unread-request", LIB + "http_listener.cpp", "          !connection->HasUnreadBytes()) {",
     "          connection->owner != nullptr) {", "Listeners.AnswerAnUnreadRequest*"),
    ("unsent-answer", LIB + "http_listener.cpp",
     "connection.HasUnsentBytes() ||", "", "Listeners.CountAConnectionAsUnfinished*"),
    ("slow-reader", LIB + "http_listener.cpp",
     "connection->HasUnsentBytes()\n"
     "                                          ? limits_.request_timeout\n"
     "                                          : kLingerTimeout;", "kLingerTimeout;",
     "Listeners.CountAConnectionAsUnfinished*"),
    ("store-log", LIB + "rocks_log_store.cpp",
     "  options.info_log = std::make_shared<GlogLogger>();\n", "", "FaultyDiskTest.*"),
    ("renewal-digest", LIB + "target_view.cpp", "      DigestOf(renewal.target) != renewal.digest) {",
     "      renewal.target.empty()) {", "Draining.IsNotHiddenByARenewal*"),
    ("ejection-last", LIB + "replica_selector.cpp",
     "if (!std::ranges::all_of(candidates_, is_ejected)) {", "if (true) {", "Replicas.EjectionNever*"),
    ("rising-percentile", LIB + "group_state.cpp",
     "const double percentile = base + (kMaxHedgePercentile - base) * spent;",
     "const double percentile = base - 2 + 0 * spent;", "Hedges.ReduceTailLatency*"),
    ("extra-budget", LIB + "search_outcomes.cpp",
     "TakeExtraBudget(now, group.policy, run.target_group, 0.0)) {",
     "(TakeExtraBudget(now, group.policy, run.target_group, 0.0) || true)) {", "ExtraAttempts.*"),
    ("silent-probe", LIB + "search_outcomes.cpp",
     "if (state == ProbeState::kUnknown) {",
     "if (state == ProbeState::kUnknown && id == 0) {", "Connections.*"),
    ("admission", LIB + "request_filters.cpp",
     "if (policy.admission == 0 || !may_wait) {", "if (true || !may_wait) {",
     "Overload.RefusalIsImmediate*"),
    ("classes", LIB + "part_queue.cpp",
     "queues_[key][static_cast<std::size_t>(request_class)].Push(waiting);",
     "queues_[key][request_class == RequestClass::kUrgent ? 0U : 0U].Push(waiting);",
     "Overload.UrgentSearches*"),
    ("canary", LIB + "search_flow.cpp", "  if (trusted) {\n    StartFanOut",
     "  if (trusted || true) {\n    StartFanOut", "Poison.RequestResent*"),
    ("evidence-spread", LIB + "search_poison.cpp",
     "if (poison_.Merge(now, evidence, quarantine)) {", "if (false) {", "Poison.RequestResent*"),
    ("canary-part", LIB + "search_poison.cpp", "if (!best_score || *score < *best_score) {",
     "if (!best_score) {", "Deadlines.OneSlowPart*"),
    ("innocent", LIB + "poison_tracker.cpp", "constexpr std::size_t kCrashesToQuarantine = 2;",
     "constexpr std::size_t kCrashesToQuarantine = 1;", "Poison.CrashingTarget*"),
    ("disk-rule", LIB + "consensus_node.cpp",
     "return member != nullptr && member->voter && member->disk == disk;",
     "return member != nullptr && member->voter && (member->disk == disk || true);",
     "Consensus.*:*Seeds*"),
    ("disk-rule-votes", LIB + "consensus_election.cpp",
     "      !IsVoterWith(reply.from, reply.from_disk)) {",
     "      (!IsVoterWith(reply.from, reply.from_disk) && false)) {",
     "Consensus.*:*Seeds*"),
    ("commit-own-term", LIB + "consensus_replication.cpp",
     "if (quorum_index > commit_ && TermAt(quorum_index) == vote_.term) {",
     "if (quorum_index > commit_) {",
     "Consensus.AnEntryOf*"),
    ("check-quorum", LIB + "consensus_election.cpp",
     "if (AnsweringVoterCount(now) >= quorum()) {", "if (true) {", "Consensus.APausedLeader*"),
    ("failed-write", LIB + "consensus_node.cpp", "if (!CheckWrite(store_.Append(entries))) {",
     "if (!store_.Append(entries)) {", "Consensus.AFailedWrite*"),
    ("compacted-entries", LIB + "consensus_replication.cpp",
     "const bool compacted = progress.next < first_index();",
     "const bool compacted = false;", "*Seeds*"),
    ("voter-unaware", LIB + "consensus_election.cpp",
     "const bool eligible = !disk_mismatch && !has_leader &&",
     "const bool eligible = IsVoter() && !disk_mismatch && !has_leader &&",
     "Consensus.AHostVotes*"),
    ("current-after-restart", LIB + "consensus_election.cpp",
     "return recent_contact && TermAt(commit_) == vote_.term;",
     "return recent_contact || commit_ > 0;",
     "Consensus.ARestarted*"),
    ("claim-retention", LIB + "control_state.cpp",
     "if (command.created_s <= time_s_ - kClaimRetentionS) {", "if (false) {", "Claims.ADeletedKey*"),
    ("claim-time-forward", LIB + "control_state.cpp",
     "time_s_ = std::max(time_s_, command.time_s);", "time_s_ = command.time_s;",
     "Claims.ADeletedKey*"),
    ("change-ids", LIB + "control_state.cpp", "if (known != change_results_.end()) {", "if (false) {",
     "Settings.AResend*"),
    ("action-proof", LIB + "action_controller.cpp",
     "ProvesNotRun(outcome.status) && outcome.status != AttemptStatus::kSilent;",
     "outcome.status != AttemptStatus::kAnswered;", "Actions.*"),
    ("action-deadline", LIB + "action_controller.cpp",
     "if (action.answered || now >= action.deadline) {", "if (false) {", "Actions.SuspendedHost*"),
    ("reset-answer", LIB + "http_client.cpp",
     "if (connection.transfer == nullptr || !clean_close ||\n"
     "        connection.WasReset()) {",
     "if (connection.transfer == nullptr || !clean_close) {",
     "HttpClients.ReportAResponseWithoutALength*"),
    ("answer-of-another-call", LIB + "http_client.cpp",
     "if (!value.empty() && value != expected.value) {",
     "if (value.data() == nullptr && !value.empty()) {",
     "HttpClients.Skip*"),
    ("address-used-again", LIB + "target_directory.cpp", "  if (other_active) {", "  if (false) {",
     "Directories.AssignAnAddress*"),
    ("forged-report", LIB + "target_directory.cpp", "  if (same_incarnation && (",
     "  if (same_incarnation && sizeof(int) == 1 && (",
     "Directories.RejectAChange*"),
    ("hedges-under-load", LIB + "search_outcomes.cpp",
     "if (selector_.Stats(choice.target->target)->WouldQueue(now)) {", "if (false) {",
     "ForwardLoad.OverloadIsRefused*:ForwardLoad.ARefusedBurst*"),
    ("join-patience", LIB + "consensus_node.cpp", "found != progress_.end()) {",
     "member.voter && found != progress_.end()) {", "Membership.AHostJoins*:Membership.DiskLoss*"),
    ("join-passed-on", LIB + "consensus_node.cpp", "    ForwardJoin(message);\n", "",
     "Membership.ABlankHostJoins*"),
    ("enough-voters", LIB + "consensus_node.cpp", "VoterCount() > config_.min_voters;",
     "VoterCount() > 3;", "Membership.SilentVotersAreKept*"),
    ("first-election", LIB + "consensus_election.cpp", "has_seen_leader_ ? config_.election_timeout",
     "true ? config_.election_timeout", "Membership.ALeaderIsElected*"),
    ("loss-asked-again", LIB + "target_gateway.cpp",
     "if (result.status == HttpCallStatus::kLost && tries > 1) {", "if (tries > 99) {",
     "TargetLosses.AreNotReportedWhen*"),
    ("conditions", LIB + "replica_selector.cpp", "      stats->OnCondition(now, condition);\n",
     "      (void)now;\n      (void)stats;\n", "ForwardLoad.SharedConditions*"),
    ("usual-samples", LIB + "condition_aggregator.cpp",
     "  return found != targets_.end() && !IsTypical(found->second.published);",
     "  return found == targets_.end() || found != targets_.end();", "Conditions.AreForwarded*"),
    ("roster-told", LIB + "entry_host_registry.cpp",
     "if (inserted || now - entry->second >= kResendInterval) {",
     "if (true) {", "EntryHostRegistries.ReportEachHost*"),
    ("roster-relayed", LIB + "entry_host_registry.cpp",
     "void EntryHostRegistry::RecordRelayedContact(Instant now,\n"
     "                                             const std::string& host) {\n",
     "void EntryHostRegistry::RecordRelayedContact(Instant now,\n"
     "                                             const std::string& host) {\n"
     "  last_contact_[host] = now;\n",
     "EntryHostRegistries.ForgetAHost*"),
    ("cut-zone-return", LIB + "reachability_monitor.cpp",
     "return zone_reachable ?", "return zone_reachable && balancer_lag < kMinRetryAfter ?",
     "Reachability.DelaysRetries*"),
    ("budget-rounding", LIB + "extra_attempt_budget.cpp",
     "+ limits.rounding", "", "ExtraAttemptBudgets.OfMany*"),
    ("reach", LIB + "reachability_monitor.cpp",
     "    cut_off_ = true;\n", "", "Reachability.IsLostWhenNeither*"),
    ("reach-of-targets", LIB + "reachability_monitor.cpp",
     "void ReachabilityMonitor::OnResponse() {\n  Reset();",
     "void ReachabilityMonitor::OnResponse() {", "Reachability.IsNotLostWhileTargets*"),
    ("log-lines-held", LIB + "event_log.cpp", "now - flushed_at_ >= kFlushInterval", "false",
     "EventLogTest.Batches*"),
    ("last-part", LIB + "part_admission.cpp",
     "1.0 + kWaitSpread * std::log10(static_cast<double>(queued));", "1.0;",
     "PartAdmissions.ExpectTheLast*"),
    ("own-zone", LIB + "replica_selector.cpp", "  KeepToOwnZone(query);\n", "",
     "ForwardLoad.WorkStaysInItsZone*"),
    ("stall-period", LIB + "target_stats.cpp", "kFirstStallPeriod = milliseconds(100);",
     "kFirstStallPeriod = milliseconds(250);", "ForwardLoad.WorkStaysInItsZone*"),
    ("stall-events", LIB + "stall_filter.cpp", "if (late_events_ < kEventsOfASlowTarget) {",
     "if (false) {", "StallFilters.*"),
    ("slow-for-the-fleet", LIB + "target_stats.cpp",
     "std::max(Slowness(now), FleetSlowness(now)) <=", "Slowness(now) <=", "FitTargets.*"),
    ("late-rather-than-none", LIB + "search_flow.cpp", "const bool decides = !search.CanSpareAPart() &&",
     "const bool decides = false && !search.CanSpareAPart() &&", "ForwardLoad.AnAnswerWaits*"),
    ("absent-parts", LIB + "part_admission.cpp", "query.waits.size() - query.absent;", "query.waits.size();",
     "PartAdmissions.SpareNoPart*"),
    ("left-out-parts", LIB + "part_admission.cpp",
     "result.admitted = late_waits.size() <= spared && !general;", "result.admitted = false;",
     "ForwardLoad.AShardThatCannot*"),
    ("general-load", LIB + "part_admission.cpp",
     "longest_kept * 100 > query.allowed * kGeneralLoadPercent;", "false;",
     "ForwardLoad.OverloadIsRefused*"),
    ("canary-of-leader", LIB + "search_poison.cpp", "    StartFanOut(now, queue.leader);\n", "",
     "Poison.CanaryEnds*"),
    ("class-drain", LIB + "group_state.cpp", "std::max(all * kMinClassShare, all - more_urgent)",
     "all * kMinClassShare + 0.0 * more_urgent", "ForwardLoad.Routine*"),
    ("failing-weight", LIB + "target_stats.cpp", "kFailurePenalty = 12.0", "kFailurePenalty = 1.0",
     "ForwardLoad.RefusedParts*"),
    ("return-window", LIB + "retry_after.cpp", "from + (until - from) * drawn",
     "0.0 * (from + (until - from) * drawn)", "ForwardLoad.ARefusedBurst*:RetryAfterTimes.*"),
    ("return-class", LIB + "retry_after.cpp", "      return {0.5, 1.0};", "      return {0.0, 1.0};",
     "RetryAfterTimes.*"),
    ("connect-patience", LIB + "peer_transport.cpp", "      link.reconnect = true;\n", "",
     "Peers.AHostThatComesUp*"),
    ("posted-tasks", LIB + "event_loop.cpp", "    posted_.clear();\n", "", "EventLoops.DropPosted*"),
    ("silent-peer", LIB + "peer_transport.cpp",
     "    if (link != links_.end() && link->second.connection != nullptr) {\n"
     "      link->second.connection->Close();\n    }\n", "    (void)link;\n", "Peers.ASilent*"),
    ("evidence-whatever-is-set", LIB + "search_poison.cpp",
     "  if (trusted) {\n    HandleFailure(now, search, run, AttemptStatus::kLost);",
     "  if (trusted || search.policy().canary != 0) {\n"
     "    HandleFailure(now, search, run, AttemptStatus::kLost);", "*CrashingRequests.OverAll*"),
    ("suspicion-kept", LIB + "search_flow.cpp", "  RecordUnresolvedLoss(now, search);\n", "",
     "*CrashingRequests.ThatRunAtMostOnce*"),
    ("forwarded-loss-asked-again", LIB + "forward_gateway.cpp",
     "} else if (!result.connection_refused) {",
     "} else if (false) {", "ForwardGateways.DistinguishExitedTargets*"),
    ("sender-is-there", LIB + "forward_gateway.cpp",
     "result.malformed ? AttemptStatus::kFailed : *status;", "*status;",
     "ForwardOutcomes.TreatMalformedBytes*"),
    ("settled-connection", LIB + "http_client.cpp",
     "MonotonicNow() + kConnectOnlyOpenTime", "MonotonicNow()",
     "ForwardGateways.DistinguishExitedTargets*"),
    ("alone-within-budget", LIB + "search_flow.cpp",
     "  if (!TakeExtraBudget(now, group.policy, target_group, 0.0)) {",
     "  if (!TakeExtraBudget(now, group.policy, target_group, 0.0) && false) {", "RetryBudget.*"),
    ("paid-until-it-arrives", LIB + "search_outcomes.cpp", "    part.budget_reserved = true;\n",
     "    extra_budgets_[run.target_group].Refund(now);\n", "RetryBudget.Counts*"),
    ("targets-of-two", LIB + "poison_tracker.cpp", "suspects_of_.at(target).size() == 1",
     "suspects_of_.at(target).size() > 0", "PoisonTrackers.DoNotQuarantineTwo*"),
    ("started-again", LIB + "poison_tracker.cpp", "  suspect.crashed.insert(target);",
     "  suspect.crashed.insert({target.target, 0});", "PoisonTrackers.CountARestartedTarget*"),
    ("suspects-bounded", LIB + "poison_tracker.cpp", "suspects_.size() < kMaxSuspects ?", "true ?",
     "PoisonTrackers.HoldABounded*"),
    ("refused-orders", LIB + "search_engine.cpp", "  if (refused > Duration{}) {", "  if (false) {",
     "Poison.ActionIsRefused*"),
    ("told-newer", LIB + "evidence_outbox.cpp", " || found->second.evidence != one", "",
     "EvidenceOutboxes.DeliverNewer*"),
    ("cleared-told", LIB + "evidence_store.cpp", "before.targets == after.targets &&",
     "(after.targets.empty() || before.targets == after.targets) &&",
     "EvidenceStores.ReportThatARequest*"),
    ("gone-before-new-voter", LIB + "consensus_node.cpp", "    if (!PrepareForNewVoter(now)) {",
     "    if (false) {", "LostQuorum.AReplaced*:LostQuorum.Disks*"),
    ("votes-asked-again", LIB + "consensus_election.cpp",
     "} else if (role_ != ConsensusRole::kFollower && now >= next_vote_request_) {",
     "} else if (false) {", "LostQuorum.LostVotes*:LostQuorum.Disks*"),
    ("late-snapshot", LIB + "consensus_replication.cpp",
     "const bool keep_entries = TermAt(received.index) == received.term;",
     "const bool keep_entries = false;", "Consensus.ALateSnapshot*"),
    ("joins-tell", LIB + "consensus_node.cpp", "  if (outdated && next <= last_index() + 1 &&",
     "  if (false && outdated && next <= last_index() + 1 &&", "LostQuorum.*"),
    ("torn-write", LIB + "rocks_log_store.cpp",
     "if (opened.IsCorruption() && OnlyLastWriteIsTorn(path)) {", "if (false) {",
     "RocksLogStoreTest.ATorn*"),
    ("damage-in-the-middle", LIB + "rocks_log_store.cpp", "last_found <= last_readable + 1",
     "true",
     "RocksLogStoreTest.CorruptionInTheMiddle*"),
    ("limit-kept", LIB + "target_stats.cpp", "  return AcceptsAt(now) <= now &&",
     "  return shed_until_ <= now &&", "LimitExceeded.*"),
    ("limit-at-admission", LIB + "request_filters.cpp", "    if (selector_.any_limited()) {",
     "    if (false) {", "LimitExceeded.WhereAll*"),
    ("limit-told", LIB + "replica_selector.cpp",
     "if (condition.limit.per_second != stats->limit().per_second()) {", "if (false) {",
     "LimitExceeded.ThatEnds*"),
    ("limit-by-chance", LIB + "request_limit.cpp",
     "  if (hosts * (std::floor(share) + 1.0) <= allowed) {",
     "  if (true || hosts * (std::floor(share) + 1.0) <= allowed) {",
     "RequestLimits.LeaveRoom*"),
    ("odd-nesting", LIB + "control_calls.cpp",
     "    if (depth > kMaxNesting || values > kMaxValues) {", "    if (false) {",
     "OddEntries.ThatTake*"),
    ("odd-numbers", LIB + "control_calls.cpp",
     "if (static_cast<double>(whole) <= kMaxExactInteger) {", "if (true) {",
     "OddEntries.WithNumbers*"),
]


def run(*command):
    return subprocess.run(command, capture_output=True, text=True, check=False)


def main():
    chosen = sys.argv[1:]
    scratch = tempfile.mkdtemp(prefix="mutations-")
    tree, out = os.path.join(scratch, "tree"), os.path.join(scratch, "build")
    shutil.copytree(SOURCE, tree, ignore=shutil.ignore_patterns(".git"))
    run("cmake", "-S", tree, "-B", out, "-G", "Ninja", "-DCMAKE_BUILD_TYPE=Debug")
    survivors = 0
    for name, path, text, replacement, tests in MUTATIONS:
        if chosen and name not in chosen:
            continue
        path = os.path.join(tree, path)
        with open(path, encoding="utf-8") as file:
            original = file.read()
        if text not in original:
            print(f"{name}: NOT APPLIED, the text has changed", flush=True)
            survivors += 1
            continue
        with open(path, "w", encoding="utf-8") as file:
            file.write(original.replace(text, replacement, 1))
        built = run("ninja", "-j", "6", "-C", out, "snipeworks_test")
        if built.returncode != 0:
            print(f"{name}: DOES NOT BUILD\n{built.stdout[-800:]}", flush=True)
            survivors += 1
        else:
            tested = run("timeout", "120", os.path.join(out, "src/libsnipeworks/snipeworks_test"),
                         "--gtest_brief=1", f"--gtest_filter={tests}")
            failed = tested.returncode != 0
            survivors += 0 if failed else 1
            print(f"{name}: {'fails without it' if failed else 'STILL PASSES'} ({tests})", flush=True)
        with open(path, "w", encoding="utf-8") as file:
            file.write(original)
    shutil.rmtree(scratch)
    print(f"{survivors} without a failing test")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
