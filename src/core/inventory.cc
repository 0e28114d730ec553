#include "core/inventory.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "core/ini_binder.h"

namespace fuchsiaweir {
namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxCount = 1'000'000'000'000;

const std::array<IniKey<DataCentre>, 2> kDataCentreKeys = {{
    {"region", &DataCentre::region, Presence::kRequired},
    {"in_service", &DataCentre::in_service},
}};

const std::array<IniKey<Host>, 5> kHostKeys = {{
    {"data_centre", &Host::data_centre, Presence::kRequired},
    {"address", &Host::address, Presence::kRequired},
    {"port", &Host::port, Presence::kRequired, 1, kMaxPort},
    {"role", &Host::role, Presence::kRequired},
    {"in_service", &Host::in_service},
}};

const std::array<IniKey<Runner>, 10> kRunnerKeys = {{
    {"host", &Runner::host, Presence::kRequired},
    {"model", &Runner::model, Presence::kRequired},
    {"address", &Runner::address, Presence::kRequired},
    {"port", &Runner::port, Presence::kRequired, 1, kMaxPort},
    {"checks_fence", &Runner::checks_fence},
    {"cold_limit", &Runner::cold_limit, Presence::kOptional, 1, 10'000},
    {"warm_up_runs", &Runner::warm_up_runs, Presence::kOptional, 0, 10'000},
    {"max_concurrent", &Runner::max_concurrent, Presence::kOptional, 1, 10'000},
    {"prefill_tokens_per_second", &Runner::prefill_tokens_per_second, Presence::kOptional, 1,
     kMaxCount},
    {"cache_blocks", &Runner::cache_blocks, Presence::kOptional, 0, kMaxCount},
}};

const std::array<IniKey<Store>, 5> kStoreKeys = {{
    {"data_centre", &Store::data_centre, Presence::kRequired},
    {"address", &Store::address, Presence::kRequired},
    {"port", &Store::port, Presence::kRequired, 1, kMaxPort},
    {"capacity_blocks", &Store::capacity_blocks, Presence::kOptional, 1, kMaxCount},
    {"link_bytes_per_second", &Store::link_bytes_per_second, Presence::kOptional, 1, kMaxCount},
}};

const std::array<IniKey<Service>, 5> kServiceKeys = {{
    {"service", &Service::service, Presence::kRequired},
    {"host", &Service::host, Presence::kRequired},
    {"address", &Service::address, Presence::kRequired},
    {"port", &Service::port, Presence::kRequired, 1, kMaxPort},
    {"non_idempotent", &Service::non_idempotent},
}};

const std::array<IniKey<Team>, 4> kTeamKeys = {{
    {"key_digests", &Team::key_digests, Presence::kRequired},
    {"weight", &Team::weight, Presence::kOptional, 1, 1000},
    {"max_concurrent", &Team::max_concurrent, Presence::kOptional, 1, 1'000'000},
    {"tokens_per_second", &Team::tokens_per_second, Presence::kOptional, 1, kMaxCount},
}};

const std::array<IniKey<Model>, 5> kModelKeys = {{
    {"version", &Model::version, Presence::kRequired},
    {"adapter", &Model::adapter},
    {"tokenizer", &Model::tokenizer},
    {"block_tokens", &Model::block_tokens, Presence::kOptional, 1, 1'000'000},
    {"kv_bytes_per_token", &Model::kv_bytes_per_token, Presence::kOptional, 1, 100'000'000},
}};

const std::array<IniKey<Rules>, 10> kRulesKeys = {{
    {"request_deadline_ms", &Rules::request_deadline_ms, Presence::kOptional, 1, 86'400'000},
    {"progress_deadline_ms", &Rules::progress_deadline_ms, Presence::kOptional, 1, 3'600'000},
    {"attach_window_ms", &Rules::attach_window_ms, Presence::kOptional, 1, 3'600'000},
    {"max_queue", &Rules::max_queue, Presence::kOptional, 1, 1'000'000},
    {"retry_budget_percent", &Rules::retry_budget_percent, Presence::kOptional, 0, 100},
    {"bid_candidates", &Rules::bid_candidates, Presence::kOptional, 2, 16},
    {"healthy_token_ms", &Rules::healthy_token_ms, Presence::kOptional, 1, 60'000},
    {"claim_lifetime_s", &Rules::claim_lifetime_s, Presence::kOptional, 1, 31'536'000},
    {"weight_loads", &Rules::weight_loads, Presence::kOptional, 1, 1000},
    {"order_lease_ms", &Rules::order_lease_ms, Presence::kOptional, 100, 3'600'000},
}};

/// Line of each named section, by kind and name, for findings about relations between sections.
using SectionLines = std::map<std::pair<std::string, std::string>, int>;

struct Reader {
  const IniDocument& document;
  Findings& findings;
  Inventory inventory;
  SectionLines lines;

  template <typename Record, typename Table>
  void Append(const IniSection& section, const Table& table, std::vector<Record>& records) {
    if (section.name.empty()) {
      findings.Add(
          document.file, section.line,
          absl::StrCat("[", section.kind, "] lacks a name; write [", section.kind, " NAME]"));
    }
    Record record = BindSection<Record>(document.file, section, table, findings);
    record.name = section.name;
    lines[{section.kind, section.name}] = section.line;
    records.push_back(std::move(record));
  }

  void Require(bool holds, const std::string& kind, const std::string& name,
               const std::string& message) {
    if (holds) return;
    const auto line = lines.find({kind, name});
    findings.Add(document.file, line == lines.end() ? 0 : line->second,
                 absl::StrCat("[", kind, " ", name, "] ", message));
  }
};

const std::map<std::string, std::function<void(Reader&, const IniSection&)>>& SectionReaders() {
  static const auto& readers =
      *new std::map<std::string, std::function<void(Reader&, const IniSection&)>>{
          {"data_centre",
           [](Reader& r, const IniSection& s) {
             r.Append(s, kDataCentreKeys, r.inventory.data_centres);
           }},
          {"host",
           [](Reader& r, const IniSection& s) { r.Append(s, kHostKeys, r.inventory.hosts); }},
          {"runner",
           [](Reader& r, const IniSection& s) { r.Append(s, kRunnerKeys, r.inventory.runners); }},
          {"store",
           [](Reader& r, const IniSection& s) { r.Append(s, kStoreKeys, r.inventory.stores); }},
          {"service",
           [](Reader& r, const IniSection& s) { r.Append(s, kServiceKeys, r.inventory.services); }},
          {"team",
           [](Reader& r, const IniSection& s) { r.Append(s, kTeamKeys, r.inventory.teams); }},
          {"model",
           [](Reader& r, const IniSection& s) { r.Append(s, kModelKeys, r.inventory.models); }},
          {"rules",
           [](Reader& r, const IniSection& s) {
             r.inventory.rules = BindSection<Rules>(r.document.file, s, kRulesKeys, r.findings);
           }},
      };
  return readers;
}

template <typename Item>
void RequireHost(Reader& reader, const std::string& kind, const Item& item) {
  const Host* host = FindByName(reader.inventory.hosts, item.host);
  reader.Require(host != nullptr, kind, item.name,
                 absl::StrCat("names the unknown host \"", item.host, "\""));
  reader.Require(host == nullptr || host->role == "agent", kind, item.name,
                 absl::StrCat("is on host \"", item.host, "\", whose role is not agent"));
}

template <typename Item>
void RequireDataCentre(Reader& reader, const std::string& kind, const Item& item) {
  reader.Require(FindByName(reader.inventory.data_centres, item.data_centre) != nullptr, kind,
                 item.name,
                 absl::StrCat("names the unknown data centre \"", item.data_centre, "\""));
}

void CheckReferences(Reader& reader) {
  const Inventory& inventory = reader.inventory;
  std::set<std::pair<std::string, int64_t>> addresses;
  for (const Host& host : inventory.hosts) {
    RequireDataCentre(reader, "host", host);
    reader.Require(host.role == "entry" || host.role == "agent", "host", host.name,
                   absl::StrCat("has role \"", host.role, "\"; allowed is entry or agent"));
    reader.Require(addresses.insert({host.address, host.port}).second, "host", host.name,
                   absl::StrCat("shares ", host.address, ":", host.port, " with another host"));
  }
  for (const Store& store : inventory.stores) RequireDataCentre(reader, "store", store);
  for (const Runner& runner : inventory.runners) {
    RequireHost(reader, "runner", runner);
    reader.Require(FindByName(inventory.models, runner.model) != nullptr, "runner", runner.name,
                   absl::StrCat("names the unknown model \"", runner.model, "\""));
    reader.Require(runner.cold_limit <= runner.max_concurrent, "runner", runner.name,
                   absl::StrCat("has cold_limit ", runner.cold_limit, " above max_concurrent ",
                                runner.max_concurrent));
  }
  for (const Service& service : inventory.services) RequireHost(reader, "service", service);
  for (const Model& model : inventory.models) {
    reader.Require(model.tokenizer == "whitespace", "model", model.name,
                   absl::StrCat("has tokenizer \"", model.tokenizer, "\"; allowed is whitespace"));
  }
  std::set<std::string> digests;
  for (const Team& team : inventory.teams) {
    for (const std::string& digest : team.key_digests) {
      const bool hex =
          digest.size() == 64 && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
      reader.Require(hex, "team", team.name, "has a key digest that is not 64 hex digits");
      reader.Require(digests.insert(digest).second, "team", team.name,
                     "shares a key digest with another team");
    }
  }
}

}  // namespace

std::optional<Inventory> ParseInventory(const IniDocument& document, Findings& findings) {
  const size_t before = findings.items().size();
  Reader reader{document, findings, {}, {}};
  for (const IniSection& section : document.sections) {
    const auto read = SectionReaders().find(section.kind);
    if (read == SectionReaders().end()) {
      findings.Add(document.file, section.line,
                   absl::StrCat("unknown section [", section.kind, "]"));
      continue;
    }
    read->second(reader, section);
  }
  CheckReferences(reader);
  if (findings.items().size() != before) return std::nullopt;
  return std::move(reader.inventory);
}

}  // namespace fuchsiaweir
