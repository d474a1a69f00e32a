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
    ("coverage-from-manifest", LIB + "search_run.cpp",
     "coverage.documents_total = snapshot_->manifest.documents();",
     "coverage.documents_total = coverage.parts_answered;", "Search.APartThatNobodyHolds*"),
    ("echoed-snapshot", LIB + "search_outcomes.cpp",
     "const bool right = outcome.snapshot == search.snapshot().id() &&",
     "const bool right = outcome.documents > 0 &&", "Search.AnAnswerOfAnother*"),
    ("replan", LIB + "search_flow.cpp",
     "const bool possible = !search.replanned && snapshot &&",
     "const bool possible = false && !search.replanned && snapshot &&",
     "Search.WhenTheSnapshotIsDropped*"),
    ("lease-age", LIB + "target_view.cpp", "const Instant heard_at = now - age;",
     "const Instant heard_at = now - age * 0;", "Leases.*"),
    ("old-sequence", LIB + "target_view.cpp", "if (news.IsNewerThan(record.announcement)) {",
     "if (true) {", "Leases.*:Views.*"),
    ("draining-final", LIB + "target_view.cpp",
     "  if (drained_before) {", "  if (drained_before && false) {", "Draining.*"),
    ("draining-over-reports", LIB + "target_view.cpp", "  if (ends) {", "  if (false) {",
     "Draining.IsTakenFrom*"),
    ("drained-after-restart", LIB + "target_directory.cpp",
     "  drained.state = TargetState::kDraining;\n  Take(now, drained);\n",
     "  drained.state = TargetState::kDraining;\n", "Directories.TakeFromEntryHosts*"),
    ("leaving-decoded", LIB + "forward_gateway.cpp",
     "outcome.leaving = result.Header(names.leaving) == names.leaving_value;",
     "outcome.leaving = false;", "ForwardOutcomes.TellThat*"),
    ("leaving", LIB + "search_outcomes.cpp", "if (outcome.leaving) {", "if (false) {", "Leaving.*"),
    ("left-alone", LIB + "target_stats.cpp", "if (outcome.retry_after > Duration{}) {", "if (false) {",
     "LeftAlone.*"),
    ("left-alone-told", LIB + "search_flow.cpp",
     "if (!choice.paused_until || *choice.paused_until < search->AnswerBy()) {", "if (true) {",
     "LeftAlone.WhenAll*"),
    ("unsent-withdrawn", LIB + "forward_gateway.cpp", "      client_.AbortUnsent(running.call);\n", "",
     "ForwardGateways.Withdraw*"),
    ("answers-held", LIB + "http_client.cpp", "while (held_ > limits_.held_bytes) {", "while (false) {",
     "HttpClients.HoldNoMore*"),
    ("answer-size", LIB + "http_client.cpp", "transfer.received > limits_.answer_bytes ||", "false ||",
     "Bytes/EndlessAnswers*"),
    ("accept-queue", LIB + "http_listener.cpp", "    AcceptWaiting();\n", "", "Listeners.AnswerWhatWasSent*"),
    ("first-request", LIB + "http_listener.cpp", "return !used && !lingering &&",
     "return false && !used && !lingering &&", "Listeners.AnswerWhatWasSent*"),
    ("unread-request", LIB + "http_listener.cpp", "          !connection->HasUnread()) {",
     "          connection->owner != nullptr) {", "Listeners.AnswerARequest*"),
    ("unsent-answer", LIB + "http_listener.cpp", "connection.HasUnsent() ||", "", "Listeners.AreNotFinished*"),
    ("slow-reader", LIB + "http_listener.cpp",
     "connection->HasUnsent() ? limits_.request_timeout : kLinger;", "kLinger;",
     "Listeners.AreNotFinished*"),
    ("store-log", LIB + "rocks_log_store.cpp",
     "  options.info_log = std::make_shared<StoreLogger>();\n", "", "FaultyDisks.*"),
    ("renewal-digest", LIB + "target_view.cpp", "      DigestOf(news.target) != news.digest) {",
     "      news.target.empty()) {", "Draining.ARenewal*"),
    ("ejection-last", LIB + "replica_selector.cpp",
     "if (!std::ranges::all_of(candidates_, is_ejected)) {", "if (true) {", "Replicas.EjectionNever*"),
    ("rising-percentile", LIB + "group_state.cpp",
     "const double percentile = base + (kLastPercentile - base) * spent;",
     "const double percentile = base - 2 + 0 * spent;", "Hedges.CutTheTail*"),
    ("extra-budget", LIB + "search_outcomes.cpp",
     "TakeExtra(now, group.policy, run.target_group, 0.0)) {",
     "(TakeExtra(now, group.policy, run.target_group, 0.0) || true)) {", "Extra.*"),
    ("silent-probe", LIB + "search_outcomes.cpp",
     "if (state == ProbeState::kUnknown) {",
     "if (state == ProbeState::kUnknown && id == 0) {", "Connections.*"),
    ("admission", LIB + "request_filters.cpp",
     "if (last_wait + context.group->Reference() <= allowed) {", "if (true) {",
     "Overload.ARefusal*"),
    ("classes", LIB + "part_queue.cpp",
     "queues_[key][static_cast<std::size_t>(request_class)].Push(waiting);",
     "queues_[key][request_class == RequestClass::kUrgent ? 0U : 0U].Push(waiting);",
     "Overload.Routine*"),
    ("canary", LIB + "search_flow.cpp", "  if (trusted) {\n    StartFanOut",
     "  if (trusted || true) {\n    StartFanOut", "Poison.Resent*"),
    ("evidence-spread", LIB + "search_poison.cpp",
     "if (poison_.Merge(now, evidence, quarantine)) {", "if (false) {", "Poison.Resent*"),
    ("canary-part", LIB + "search_poison.cpp", "if (!best_score || *score < *best_score) {",
     "if (!best_score) {", "Deadlines.OneSlowPart*"),
    ("innocent", LIB + "poison_tracker.cpp", "constexpr std::size_t kTargetsToCondemn = 2;",
     "constexpr std::size_t kTargetsToCondemn = 1;", "Poison.ATargetThatDies*"),
    ("disk-rule", LIB + "consensus_node.cpp",
     "return member != nullptr && member->voter && member->disk == disk;",
     "return member != nullptr && member->voter && (member->disk == disk || true);", "Consensus.*:*Seeds*"),
    ("disk-rule-votes", LIB + "consensus_election.cpp",
     "      !IsVoterWith(reply.from, reply.from_disk)) {",
     "      (!IsVoterWith(reply.from, reply.from_disk) && false)) {",
     "Consensus.*:*Seeds*"),
    ("commit-own-term", LIB + "consensus_replication.cpp",
     "if (agreed > commit_ && TermAt(agreed) == vote_.term) {", "if (agreed > commit_) {",
     "Consensus.AnEntryOf*"),
    ("check-quorum", LIB + "consensus_election.cpp", "if (heard >= Quorum()) {", "if (true) {",
     "Consensus.AFrozenLeader*"),
    ("failed-write", LIB + "consensus_node.cpp", "if (!Persist(store_.Append(entries))) {",
     "if (!store_.Append(entries)) {", "Consensus.AFailedWrite*"),
    ("compacted-entries", LIB + "consensus_replication.cpp",
     "const bool compacted = progress.next < first_index();",
     "const bool compacted = false;", "*Seeds*"),
    ("voter-unaware", LIB + "consensus_election.cpp",
     "const bool eligible = !other_disk && !has_leader &&",
     "const bool eligible = IsVoter() && !other_disk && !has_leader &&",
     "Consensus.AHostVotes*"),
    ("current-after-restart", LIB + "consensus_election.cpp",
     "return heard && TermAt(commit_) == vote_.term;", "return heard || commit_ > 0;",
     "Consensus.ARestarted*"),
    ("claim-retention", LIB + "control_state.cpp",
     "if (command.created_s <= time_s_ - kClaimRetentionS) {", "if (false) {", "Claims.ADropped*"),
    ("claim-time-forward", LIB + "control_state.cpp",
     "time_s_ = std::max(time_s_, command.time_s);", "time_s_ = command.time_s;",
     "Claims.ADropped*"),
    ("change-ids", LIB + "control_state.cpp", "if (first != changes_.end()) {", "if (false) {",
     "Settings.AResend*"),
    ("action-proof", LIB + "action_controller.cpp",
     "ProvesNotRun(outcome.status) && outcome.status != AttemptStatus::kSilent;",
     "outcome.status != AttemptStatus::kAnswered;", "Actions.*"),
    ("action-deadline", LIB + "action_controller.cpp",
     "if (action.answered || now >= action.deadline) {", "if (false) {", "Actions.AFrozen*"),
    ("reset-answer", LIB + "http_client.cpp",
     "if (connection.transfer == nullptr || !in_order || connection.WasReset()) {",
     "if (connection.transfer == nullptr || !in_order) {", "HttpClients.LoseAnAnswerWithoutALength*"),
    ("answer-of-another-call", LIB + "http_client.cpp",
     "if (!value.empty() && value != echo.value) {", "if (value.data() == nullptr && !value.empty()) {",
     "HttpClients.PassOver*"),
    ("address-used-again", LIB + "target_directory.cpp", "  if (there) {", "  if (false) {",
     "Directories.GiveAnAddress*"),
    ("forged-report", LIB + "target_directory.cpp", "  if (same_start &&\n", "  if (same_start && sizeof(int) == 1 &&\n",
     "Directories.KeepATarget*"),
    ("hedges-under-load", LIB + "search_outcomes.cpp",
     "if (selector_.Stats(choice.target->target)->WouldQueue(now)) {", "if (false) {",
     "ForwardLoad.ABurst*"),
    ("join-patience", LIB + "consensus_node.cpp", "found != progress_.end()) {",
     "member.voter && found != progress_.end()) {", "Members.TakeInAHost*:Members.BearALoss*"),
    ("join-passed-on", LIB + "consensus_node.cpp", "    PassJoinOn(message);\n", "",
     "Members.AreTakenInThrough*"),
    ("enough-voters", LIB + "consensus_node.cpp", "Voters() > config_.min_voters;",
     "Voters() > 3;", "Members.KeepEnough*"),
    ("first-election", LIB + "consensus_election.cpp", "has_known_leader_ ? config_.election_timeout",
     "true ? config_.election_timeout", "Members.Elect*"),
    ("loss-asked-again", LIB + "target_gateway.cpp",
     "if (result.status == HttpCallStatus::kLost && tries > 1) {", "if (tries > 99) {",
     "Losses.AreNotCounted*"),
    ("conditions", LIB + "replica_selector.cpp", "      stats->OnCondition(now, condition);\n",
     "      (void)now;\n      (void)stats;\n", "ForwardLoad.HostsThatTell*"),
    ("usual-samples", LIB + "condition_board.cpp",
     "  return found != targets_.end() && !IsUsual(found->second.published);",
     "  return found == targets_.end() || found != targets_.end();", "Conditions.AreNews*"),
    ("roster-told", LIB + "host_roster.cpp", "if (first || now - slot->second >= kTellAgain) {",
     "if (true) {", "HostRosters.TellOfEach*"),
    ("roster-relayed", LIB + "host_roster.cpp", "void HostRoster::HearOf(Instant now, const std::string& host) {\n",
     "void HostRoster::HearOf(Instant now, const std::string& host) {\n  heard_[host] = now;\n",
     "HostRosters.ForgetAHost*"),
    ("cut-zone-return", LIB + "reach_monitor.cpp", "return zone_in_reach ?", "return zone_in_reach && balancer_lag < kElsewhere ?",
     "Reach.SendsCallers*"),
    ("budget-rounding", LIB + "extra_budget.cpp", "+ limits.rounding", "", "ExtraBudgets.OfMany*"),
    ("reach", LIB + "reach_monitor.cpp", "    cut_off_ = true;\n", "", "Reach.IsLostWhenNeither*"),
    ("reach-of-targets", LIB + "reach_monitor.cpp", "void ReachMonitor::OnResponse() {\n  Forget();",
     "void ReachMonitor::OnResponse() {", "Reach.IsNotLostWhileTargets*"),
    ("log-lines-held", LIB + "event_log.cpp", "now - flushed_at_ >= kFlushInterval", "false",
     "EventLogs.HandOver*"),
    ("last-part", LIB + "request_filters.cpp", "constexpr double kWaitSpread = 1.0;",
     "constexpr double kWaitSpread = 0.0;", "ForwardLoad.ABurstIs*"),
    ("class-drain", LIB + "group_state.cpp", "std::max(all * kMinClassShare, all - urgent)",
     "all * kMinClassShare + 0.0 * urgent", "ForwardLoad.Routine*"),
    ("failing-weight", LIB + "target_stats.cpp", "kFailurePenalty = 12.0", "kFailurePenalty = 1.0",
     "ForwardLoad.PartsThat*"),
    ("return-window", LIB + "return_time.cpp", "from + (until - from) * drawn",
     "0.0 * (from + (until - from) * drawn)", "ForwardLoad.ABurstThat*:ReturnTimes.*"),
    ("return-class", LIB + "return_time.cpp", "      return {0.5, 1.0};", "      return {0.0, 1.0};",
     "ReturnTimes.*"),
    ("connect-patience", LIB + "peer_transport.cpp", "      link.reopen = true;\n", "",
     "Peers.AHostThatComesUp*"),
    ("posted-tasks", LIB + "event_loop.cpp", "    posted_.clear();\n", "", "EventLoops.DropPosted*"),
    ("silent-peer", LIB + "peer_transport.cpp",
     "    if (link != links_.end() && link->second.connection != nullptr) {\n"
     "      link->second.connection->Close();\n    }\n", "    (void)link;\n", "Peers.ASilent*"),
    ("evidence-whatever-is-set", LIB + "search_poison.cpp",
     "  if (trusted) {\n    TakeFailure(now, search, run, AttemptStatus::kLost);",
     "  if (trusted || search.policy().canary != 0) {\n"
     "    TakeFailure(now, search, run, AttemptStatus::kLost);", "*CrashingRequests.OverAll*"),
    ("suspicion-kept", LIB + "search_flow.cpp", "  NoteUnproved(now, search);\n", "",
     "*CrashingRequests.ThatMayRunOnce*"),
    ("forwarded-loss-asked-again", LIB + "forward_gateway.cpp", "} else if (!result.refused) {",
     "} else if (false) {", "ForwardGateways.TellATarget*"),
    ("sender-is-there", LIB + "forward_gateway.cpp",
     "result.malformed ? AttemptStatus::kFailed : *status;", "*status;", "ForwardOutcomes.AskNobody*"),
    ("settled-connection", LIB + "http_client.cpp", "MonotonicNow() + kSettleTime", "MonotonicNow()",
     "ForwardGateways.TellATarget*"),
    ("alone-within-budget", LIB + "search_flow.cpp",
     "  if (!TakeExtra(now, group.policy, target_group, 0.0)) {",
     "  if (!TakeExtra(now, group.policy, target_group, 0.0) && false) {", "RetryBudget.*"),
    ("paid-until-it-arrives", LIB + "search_outcomes.cpp", "    part.paid_ahead = true;\n",
     "    extra_budgets_[run.target_group].GiveBack(now);\n", "RetryBudget.Counts*"),
    ("targets-of-two", LIB + "poison_tracker.cpp", "suspects_of_.at(target).size() == 1",
     "suspects_of_.at(target).size() > 0", "PoisonTrackers.RunTwo*"),
    ("started-again", LIB + "poison_tracker.cpp", "  suspect.broken.insert(target);",
     "  suspect.broken.insert({target.target, 0});", "PoisonTrackers.CountATarget*"),
    ("suspects-bounded", LIB + "poison_tracker.cpp", "suspects_.size() < kMaxSuspects ?", "true ?",
     "PoisonTrackers.HoldABounded*"),
    ("refused-orders", LIB + "search_engine.cpp", "  if (refused > Duration{}) {", "  if (false) {",
     "Poison.AnActionIs*"),
    ("told-newer", LIB + "evidence_outbox.cpp", " || found->second.evidence != one", "",
     "EvidenceOutboxes.TellNewer*"),
    ("cleared-told", LIB + "evidence_board.cpp", "before.targets == after.targets &&",
     "(after.targets.empty() || before.targets == after.targets) &&", "EvidenceBoards.TellOfARequest*"),
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
