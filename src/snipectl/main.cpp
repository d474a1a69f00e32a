// snipectl: the command line for operators.

#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include "exceptions_edit.h"
#include "explain.h"
#include "fleet_client.h"
#include "snipeworks/fleet_settings.h"
#include "snipeworks/json_reader.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

using nlohmann::json;

constexpr char kProgramName[] = "snipectl";
constexpr char kHelp[] = R"(Commands:
  settings show                       the settings in force
  settings check FILE                 check a file without sending it
  settings diff FILE                  what a file would change
  settings set FILE --base VERSION    change the settings; VERSION is the one
                                      that the change was made against
  settings history                    the accepted changes
  settings where                      which version each entry host has in force
  settings reference                  every setting, its range and default
  exceptions list
  exceptions add GROUP NAME=VALUE... --reason TEXT
  exceptions remove GROUP
  targets                             each entry host's view of the targets
  hosts                               entry hosts
  quarantine list
  quarantine release FINGERPRINT
  zones                               evacuated zones, as each control host
                                      knows them
  control status                      control hosts
  control add HOST IP:PORT            invite a control host
  control remove HOST
  explain REQUEST [FILE...]           what became of a request, from hosts'
                                      event logs, or from standard input
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 no host could answer.
)";

std::vector<std::string> SplitCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string NewChangeId() {
  std::random_device device;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return text.data();
}

// The commands and the state that they share.
class Commands {
 public:
  Commands(const cxxopts::ParseResult& options, FleetClient& fleet)
      : options_(options),
        fleet_(fleet),
        words_(options["words"].as<std::vector<std::string>>()),
        json_(options.count("json") > 0) {}

  int Run() {
    struct Command {
      std::string_view name;
      std::size_t min_words;
      int (Commands::*run)();
    };
    static constexpr std::array kCommands = {
        Command{"settings show", 2, &Commands::SettingsShow},
        Command{"settings check", 3, &Commands::SettingsCheck},
        Command{"settings diff", 3, &Commands::SettingsDiff},
        Command{"settings set", 3, &Commands::SettingsSet},
        Command{"settings history", 2, &Commands::SettingsHistoryList},
        Command{"settings where", 2, &Commands::SettingsWhere},
        Command{"settings reference", 2, &Commands::SettingsReference},
        Command{"exceptions list", 2, &Commands::ExceptionsList},
        Command{"exceptions add", 4, &Commands::ExceptionsAdd},
        Command{"exceptions remove", 3, &Commands::ExceptionsRemove},
        Command{"targets", 1, &Commands::Targets},
        Command{"hosts", 1, &Commands::Hosts},
        Command{"quarantine list", 2, &Commands::QuarantineList},
        Command{"quarantine release", 3, &Commands::QuarantineRelease},
        Command{"zones", 1, &Commands::Zones},
        Command{"control status", 2, &Commands::ControlStatusList},
        Command{"control add", 4, &Commands::ControlAdd},
        Command{"control remove", 3, &Commands::ControlRemove},
    };
    for (const Command& command : kCommands) {
      if (Matches(command.name)) {
        if (words_.size() < command.min_words) {
          return UsageError(kProgramName,
                            std::string(command.name) + ": missing argument");
        }
        return (this->*command.run)();
      }
    }
    return UsageError(kProgramName, "unknown command; --help lists them");
  }

 private:
  bool Matches(std::string_view name) const {
    std::istringstream stream{std::string(name)};
    std::string word;
    for (std::size_t i = 0; stream >> word; ++i) {
      if (i >= words_.size() || words_[i] != word) {
        return false;
      }
    }
    return true;
  }

  // The latest settings. Sets `current` to false if the host that answered may
  // be behind.
  std::optional<SettingsRecord> LatestSettings(bool* current = nullptr) {
    auto history = fleet_.History();
    if (!history) {
      std::cerr << kProgramName << ": no control host answers\n";
      return std::nullopt;
    }
    if (current != nullptr) {
      *current = history->current;
    }
    return history->records.empty() ? SettingsRecord{}
                                    : history->records.back();
  }

  int SettingsShow() {
    bool current = false;
    auto record = LatestSettings(&current);
    if (!record) {
      return kExitUnavailable;
    }
    if (json_) {
      std::cout << json{{"version", record->version},
                        {"current", current},
                        {"text", record->text}}
                       .dump()
                << "\n";
      return kExitOk;
    }
    std::cout << "// version " << record->version
              << (current ? ""
                          : " (possibly old: no host in touch with a "
                            "quorum answers)")
              << "\n"
              << record->text << "\n";
    return kExitOk;
  }

  std::optional<std::string> ReadValidSettings(const std::string& path) {
    auto text = ReadFile(path);
    if (!text) {
      UsageError(kProgramName, text.error().detail);
      return std::nullopt;
    }
    auto parsed = FleetSettings::Parse(*text);
    if (!parsed) {
      UsageError(kProgramName, path + ": " + parsed.error().detail);
      return std::nullopt;
    }
    return *text;
  }

  int SettingsCheck() {
    if (!ReadValidSettings(words_[2])) {
      return kExitUsage;
    }
    std::cout << words_[2] << ": ok\n";
    return kExitOk;
  }

  int SettingsDiff() {
    auto text = ReadValidSettings(words_[2]);
    if (!text) {
      return kExitUsage;
    }
    auto record = LatestSettings();
    if (!record) {
      return kExitUnavailable;
    }
    const std::string old_text = record->text.empty() ? "{}" : record->text;
    const json old_settings = *ParseJson(old_text);
    const json new_settings = *ParseJson(*text);
    const json patch = json::diff(old_settings, new_settings);
    for (const json& step : patch) {
      std::cout << step["op"].get<std::string>() << " "
                << step["path"].get<std::string>()
                << (step.contains("value") ? " " + step["value"].dump() : "")
                << "\n";
    }
    std::cout << patch.size() << " differences to version " << record->version
              << "\n";
    return kExitOk;
  }

  int ProposeSettings(std::uint64_t base, const std::string& text) {
    ControlCommand command;
    command.kind = CommandKind::kSettings;
    command.change_id = options_.count("change-id") > 0
                            ? options_["change-id"].as<std::string>()
                            : NewChangeId();
    command.base_version = base;
    command.author = options_["author"].as<std::string>();
    command.text = text;
    auto result = fleet_.Propose(command);
    if (!result) {
      std::cerr << kProgramName
                << ": no control host confirmed the change; it may "
                << "have been accepted. Send it again with --change-id "
                << command.change_id << " --base " << base << "\n";
      return kExitUnavailable;
    }
    if (json_) {
      std::cout << json{{"accepted",
                         result->status == CommandStatus::kAccepted},
                        {"version", result->version},
                        {"detail", result->detail},
                        {"change_id", command.change_id}}
                       .dump()
                << "\n";
    }
    if (result->status == CommandStatus::kAccepted) {
      if (!json_) {
        std::cout << "accepted as version " << result->version << "\n";
      }
      return kExitOk;
    }
    std::cerr << kProgramName << ": " << result->detail << "\n";
    return result->status == CommandStatus::kConflict ? kExitConflict
                                                      : kExitUsage;
  }

  int SettingsSet() {
    if (options_.count("base") == 0) {
      return UsageError(kProgramName, "settings set: --base is needed");
    }
    auto text = ReadValidSettings(words_[2]);
    if (!text) {
      return kExitUsage;
    }
    return ProposeSettings(options_["base"].as<std::uint64_t>(), *text);
  }

  int SettingsHistoryList() {
    auto history = fleet_.History();
    if (!history) {
      std::cerr << kProgramName << ": no control host answers\n";
      return kExitUnavailable;
    }
    if (!history->current) {
      std::cout << "possibly old\n";
    }
    for (const SettingsRecord& record : history->records) {
      std::cout << record.version << " " << record.time_s << " "
                << record.author << " " << record.change_id << "\n";
    }
    return kExitOk;
  }

  // Passes the status of each entry host to `show`.
  int ForEachEntryHost(const std::function<void(const json&)>& show) {
    int exit_code = kExitUnavailable;
    for (const EntryHostReply& reply :
         fleet_.CallEntryHosts("GET", "/v1/status", "")) {
      const json status = json::parse(reply.body, nullptr, false);
      if (!reply.answered || !status.is_object()) {
        std::cout << reply.address << " no answer\n";
        continue;
      }
      exit_code = kExitOk;
      if (json_) {
        std::cout << status.dump() << "\n";
      } else {
        show(status);
      }
    }
    return exit_code;
  }

  int SettingsWhere() {
    return ForEachEntryHost([](const json& status) {
      std::cout << status["host"].get<std::string>() << " "
                << status["zone"].get<std::string>() << " version "
                << status["settings_version"] << "\n";
    });
  }

  int SettingsReference() {
    const GroupPolicy defaults;
    for (const PolicyField& field : PolicyFields()) {
      std::cout << field.name << ": " << field.brief << "; ";
      if (field.choices.empty()) {
        std::cout << field.min << " to " << field.max << ", default "
                  << defaults.*(field.member);
      } else {
        for (std::string_view choice : field.choices) {
          std::cout << choice << ", ";
        }
        std::cout << "default "
                  << field.choices[static_cast<std::size_t>(defaults.*
                                                            (field.member))];
      }
      std::cout << (field.fleet_wide ? "; no exceptions" : "") << "\n";
    }
    return kExitOk;
  }

  int ExceptionsList() {
    auto record = LatestSettings();
    if (!record) {
      return kExitUnavailable;
    }
    std::cout << ListExceptions(record->text);
    return kExitOk;
  }

  int ProposeEdited(const SettingsRecord& record,
                    const Result<std::string>& text) {
    if (!text) {
      return UsageError(kProgramName, text.error().detail);
    }
    return ProposeSettings(record.version, *text);
  }

  int ExceptionsAdd() {
    auto record = LatestSettings();
    if (!record) {
      return kExitUnavailable;
    }
    const std::vector<std::string> values(words_.begin() + 3, words_.end());
    return ProposeEdited(*record,
                         AddException(record->text, words_[2], values,
                                      options_["reason"].as<std::string>()));
  }

  int ExceptionsRemove() {
    auto record = LatestSettings();
    if (!record) {
      return kExitUnavailable;
    }
    return ProposeEdited(*record, RemoveException(record->text, words_[2]));
  }

  int Targets() {
    return ForEachEntryHost([](const json& status) {
      std::cout << status["host"].get<std::string>() << " sees "
                << status["targets"].size() << " targets\n";
      for (const json& target : status["targets"]) {
        std::cout << "  " << target["target"].get<std::string>() << " "
                  << target["zone"].get<std::string>() << " "
                  << target["state"].get<std::string>() << " "
                  << (target["usable"].get<bool>() ? "usable" : "not usable")
                  << " silent " << target["silent_ms"] << " ms\n";
      }
    });
  }

  int Hosts() {
    return ForEachEntryHost([](const json& status) {
      std::cout << status["host"].get<std::string>() << " "
                << status["zone"].get<std::string>() << " "
                << (status["ready"].get<bool>() ? "ready" : "not ready")
                << " running " << status["running"] << " waiting "
                << status["waiting"] << "\n";
    });
  }

  int QuarantineList() {
    return ForEachEntryHost([](const json& status) {
      for (const json& fingerprint : status["quarantined"]) {
        std::cout << status["host"].get<std::string>() << " "
                  << fingerprint.get<std::string>() << "\n";
      }
    });
  }

  int QuarantineRelease() {
    const std::string body = json{{"fingerprint", words_[2]}}.dump();
    int exit_code = kExitUnavailable;
    for (const EntryHostReply& reply :
         fleet_.CallEntryHosts("POST", "/v1/quarantine/release", body)) {
      std::cout << reply.address << " "
                << (reply.answered ? reply.body : "no answer\n");
      if (reply.answered) {
        exit_code = reply.status == 400 ? kExitUsage : kExitOk;
      }
    }
    return exit_code;
  }

  int Zones() {
    const std::vector<ControlStatus> statuses = fleet_.Statuses();
    for (const ControlStatus& status : statuses) {
      std::cout << status.host << (status.current ? "" : " possibly old")
                << (status.evacuated_zones.empty() ? " none evacuated" : "")
                << "\n";
      for (const EvacuatedZone& zone : status.evacuated_zones) {
        std::cout << "  " << zone.zone << " evacuated since " << zone.since_s
                  << "\n";
      }
    }
    if (statuses.empty()) {
      std::cerr << kProgramName << ": no control host answers\n";
    }
    return statuses.empty() ? kExitUnavailable : kExitOk;
  }

  int ControlStatusList() {
    const std::vector<ControlStatus> statuses = fleet_.Statuses();
    for (const ControlStatus& status : statuses) {
      std::cout << status.host << " " << status.role << " term " << status.term
                << " leader " << (status.leader.empty() ? "-" : status.leader)
                << " commit " << status.commit << " settings "
                << status.settings_version << " claims " << status.claims
                << (status.current ? "" : " possibly old")
                << (status.failed ? " FAILED" : "") << "\n";
      for (const Member& member : status.members) {
        std::cout << "  " << member.host << " " << member.address << " "
                  << (member.voter ? "voter" : "not a voter yet") << "\n";
      }
    }
    if (statuses.empty()) {
      std::cerr << kProgramName << ": no control host answers\n";
    }
    return statuses.empty() ? kExitUnavailable : kExitOk;
  }

  int ControlAdd() {
    if (auto address = Address::Parse(words_[3]); !address) {
      return UsageError(kProgramName, address.error().detail);
    }
    return ChangeMembership({true, words_[2], words_[3]});
  }

  int ControlRemove() { return ChangeMembership({false, words_[2], ""}); }

  int ChangeMembership(const MembersRequest& request) {
    if (fleet_.ChangeMembers(request)) {
      std::cout << "changed\n";
      return kExitOk;
    }
    std::cerr << kProgramName
              << ": no leader made the change; it may be under way, "
              << "or the host is known already or not at all\n";
    return kExitFailed;
  }

  const cxxopts::ParseResult& options_;
  FleetClient& fleet_;
  std::vector<std::string> words_;
  bool json_;
};

int Explain(const std::vector<std::string>& words) {
  if (words.empty()) {
    return UsageError(kProgramName, "explain: a request id is required");
  }
  Explanation explanation(words[0]);
  for (std::size_t i = 1; i < words.size(); ++i) {
    std::ifstream file(words[i]);
    if (!file) {
      return UsageError(kProgramName, words[i] + ": cannot be read");
    }
    explanation.AddLog(file);
  }
  if (words.size() == 1) {
    explanation.AddLog(std::cin);
  }
  std::cout << explanation.Text();
  return explanation.found() ? kExitOk : kExitFailed;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(kProgramName, kHelp);
  options.positional_help("COMMAND...");
  options.add_options()("control", "Addresses of control hosts",
                        cxxopts::value<std::string>()->default_value(""))(
      "entries", "Addresses of entry hosts",
      cxxopts::value<std::string>()->default_value(""))(
      "base", "Version that a change was made against",
      cxxopts::value<std::uint64_t>())(
      "change-id", "Names a change, so that sending it again is harmless",
      cxxopts::value<std::string>())(
      "author", "Who makes the change",
      cxxopts::value<std::string>()->default_value("operator"))(
      "reason", "Why an exception is needed",
      cxxopts::value<std::string>()->default_value(""))("json", "Print JSON")(
      "words", "Command",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional({"words"});
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  std::vector<PeerHost> control_hosts;
  for (const std::string& text :
       SplitCommas(parsed.result["control"].as<std::string>())) {
    auto address = Address::Parse(text);
    if (!address) {
      return UsageError(kProgramName, address.error().detail);
    }
    control_hosts.push_back(
        {"control-" + std::to_string(control_hosts.size() + 1), "", *address});
  }
  const auto entry_addresses =
      SplitCommas(parsed.result["entries"].as<std::string>());
  const auto words = parsed.result["words"].as<std::vector<std::string>>();
  if (!words.empty() && words[0] == "explain") {
    return Explain({words.begin() + 1, words.end()});
  }
  FleetClient fleet(control_hosts, entry_addresses);
  return Commands(parsed.result, fleet).Run();
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
