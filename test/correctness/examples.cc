#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "core/ini_document.h"
#include "core/inventory.h"
#include "core/settings.h"

namespace fuchsiaweir {
namespace {

/// Parses an example file and fails the test if there are findings.
template <typename T>
T ParseExample(const std::string& name, std::optional<T> (*parse)(const IniDocument&, Findings&)) {
  const char* root = std::getenv("FW_SOURCE_DIR");
  std::ifstream file(std::string(root == nullptr ? "." : root) + "/examples/" + name);
  CHECK_TEXT(file.good(), (name + " cannot be read").c_str());
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  Findings findings;
  std::optional<T> parsed = parse(ParseIni(text, name, findings), findings);
  STRCMP_EQUAL("", findings.ToString().c_str());
  CHECK(parsed.has_value());
  return std::move(parsed).value();
}

/// Checks that each target has its own agent host, that each data centre has an entry process, and
/// that all addresses differ.
void CheckLayout(const Inventory& inventory) {
  std::set<std::string> target_hosts;
  std::set<int64_t> ports;
  std::set<std::string> entries;
  for (const Runner& runner : inventory.runners) {
    CHECK(target_hosts.insert(runner.host).second);
    CHECK(ports.insert(runner.port).second);
  }
  for (const Service& service : inventory.services) {
    CHECK(target_hosts.insert(service.host).second);
    CHECK(ports.insert(service.port).second);
    CHECK_FALSE(service.non_idempotent.empty());
  }
  for (const Store& store : inventory.stores) CHECK(ports.insert(store.port).second);
  for (const Host& host : inventory.hosts) {
    CHECK(ports.insert(host.port).second);
    CHECK_EQUAL(host.role == "agent" ? 1u : 0u, target_hosts.count(host.name));
    if (host.role == "entry") entries.insert(host.data_centre);
    STRCMP_EQUAL("127.0.0.1", host.address.c_str());
  }
  CHECK_EQUAL(inventory.data_centres.size(), entries.size());
  size_t large_teams = 0;
  for (const Team& team : inventory.teams) large_teams += team.weight > 1 ? 1 : 0;
  CHECK_EQUAL(3u, large_teams);
  CHECK_EQUAL(10u, inventory.teams.size());
  CHECK_EQUAL(2u, inventory.stores.size());
  CHECK_EQUAL(12u, inventory.runners.size());
}

/// Checks that the settings of a process agree with its host in the inventory.
void CheckSettings(const Inventory& inventory, const std::string& name, const std::string& role) {
  const Settings settings = ParseExample<Settings>(name, &ParseSettings);
  const Host* host = FindByName(inventory.hosts, settings.host);
  CHECK(host != nullptr);
  STRCMP_EQUAL(role.c_str(), host->role.c_str());
  STRCMP_EQUAL(host->data_centre.c_str(), settings.data_centre.c_str());
  CHECK_EQUAL(host->port, settings.listen_port);
  std::set<std::string> addresses;
  for (const Host& peer : inventory.hosts) {
    if (peer.name != host->name) addresses.insert(peer.address + ":" + std::to_string(peer.port));
  }
  CHECK_EQUAL(3u, settings.peers.size());
  for (const std::string& peer : settings.peers) CHECK(addresses.count(peer) == 1);
}

}  // namespace

TEST_GROUP(Examples){};

// Guards against an example that the parser rejects or that no longer matches the design page.
TEST(Examples, KyushuMatchesTheDesign) {
  const Inventory inventory = ParseExample<Inventory>("kyushu.ini", &ParseInventory);
  CheckLayout(inventory);
  CHECK_EQUAL(3u, inventory.data_centres.size());
  CHECK_EQUAL(3u, inventory.services.size());
}

// Guards against an example that the parser rejects or that no longer matches the design page.
TEST(Examples, EtneeMatchesTheDesign) {
  const Inventory inventory = ParseExample<Inventory>("etnee.ini", &ParseInventory);
  CheckLayout(inventory);
  CHECK_EQUAL(4u, inventory.data_centres.size());
  CHECK_EQUAL(4u, inventory.services.size());
}

// Guards against settings whose host, port or peers differ from the inventory.
TEST(Examples, SettingsAgreeWithKyushu) {
  const Inventory inventory = ParseExample<Inventory>("kyushu.ini", &ParseInventory);
  CheckSettings(inventory, "entry.settings.ini", "entry");
  CheckSettings(inventory, "agent.settings.ini", "agent");
}

}  // namespace fuchsiaweir
