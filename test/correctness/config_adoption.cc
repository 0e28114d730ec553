#include "core/config_adoption.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr size_t kProcesses = 5;

/// Returns a document whose data centre is named after its revision. Multiples of 7 are invalid.
ConfigDocument Revision(int64_t revision) {
  ConfigDocument document;
  document.revision = revision;
  document.inventory_ini = "[data_centre dc" + std::to_string(revision) + "]\n" +
                           (revision % 7 == 0 ? "colour" : "region") + " = kyushu\n";
  return document;
}

/// Processes that receive revisions from the platform and from each other.
struct Fleet {
  int64_t published = 0;
  std::vector<ConfigAdoption> processes{kProcesses};

  void Deliver(size_t to, int64_t revision) {
    ConfigAdoption& process = processes[to];
    const int64_t before = process.active_revision();
    const Adoption adoption = process.Offer(Revision(revision));
    RC_ASSERT(process.active_revision() >= before);
    RC_ASSERT((adoption == Adoption::kAdopted) == (process.active_revision() > before));
    if (adoption == Adoption::kAdopted) RC_ASSERT(process.active_revision() == revision);
    if (revision > before && revision % 7 != 0) RC_ASSERT(adoption == Adoption::kAdopted);
    if (!process.active()) return;
    const std::string name = "dc" + std::to_string(process.active_revision());
    RC_ASSERT(process.active()->inventory.data_centres.at(0).name == name);
  }

  /// Replaces a process during a platform outage.
  void RestartFromPeers(size_t index) {
    StartAnswers answers;
    answers.platform_failed = true;
    int64_t newest = 0;
    for (size_t peer = 0; peer < kProcesses; ++peer) {
      if (peer == index) continue;
      ++answers.peers_queried;
      if (!processes[peer].active()) {
        ++answers.peers_failed;
        continue;
      }
      answers.peers.push_back(processes[peer].active()->document);
      newest = std::max(newest, processes[peer].active_revision());
    }
    processes[index] = ConfigAdoption();
    const ConfigDocument* chosen = ChooseStartDocument(answers);
    RC_ASSERT((chosen == nullptr) == answers.peers.empty());
    if (chosen == nullptr) return;
    RC_ASSERT(processes[index].Offer(*chosen) == Adoption::kAdopted);
    RC_ASSERT(processes[index].active_revision() == newest);
  }
};

}  // namespace

TEST_GROUP(ConfigAdoption){};

// Guards against a process that reverts to an older configuration, or adopts an invalid one, when
// answers of peers and of the platform are reordered, repeated or stale.
TEST(ConfigAdoption, NeverReverts) {
  CheckProperty("the revision in force never decreases", [] {
    Fleet fleet;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 1000)));
    for (const auto& [kind, value] : steps) {
      const size_t process = value % kProcesses;
      const int64_t age = value / 10 % 10;
      if (kind == 0) ++fleet.published;
      // The platform may answer with any earlier revision.
      if (kind == 1) fleet.Deliver(process, std::max<int64_t>(0, fleet.published - age));
      if (kind == 2) {
        fleet.Deliver(process, fleet.processes[(process + age) % kProcesses].active_revision());
      }
      if (kind == 3) fleet.RestartFromPeers(process);
    }
  });
}

// Guards against a start from a single stale source, and against a start that waits for ever.
TEST(ConfigAdoption, StartUsesTheNewestOfSeveralSources) {
  CheckProperty("the start waits for its sources and uses the newest", [] {
    StartAnswers answers;
    answers.peers_queried = *rc::gen::inRange(0, 7);
    answers.peers_failed = *rc::gen::inRange<size_t>(0, answers.peers_queried + 1);
    const size_t answered =
        *rc::gen::inRange<size_t>(0, answers.peers_queried - answers.peers_failed + 1);
    int64_t newest = 0;
    for (size_t i = 0; i < answered; ++i) {
      answers.peers.push_back(Revision(*rc::gen::inRange(1, 100)));
      newest = std::max(newest, answers.peers.back().revision);
    }
    if (*rc::gen::arbitrary<bool>()) {
      answers.platform = Revision(*rc::gen::inRange(1, 100));
      newest = std::max(newest, answers.platform->revision);
    }
    answers.platform_failed = !answers.platform && *rc::gen::arbitrary<bool>();
    answers.deadline_passed = *rc::gen::arbitrary<bool>();

    const bool platform_open = !answers.platform && !answers.platform_failed;
    const bool peers_open = answered + answers.peers_failed < answers.peers_queried && answered < 3;
    const bool waits = !answers.deadline_passed && (platform_open || peers_open);
    const ConfigDocument* chosen = ChooseStartDocument(answers);
    RC_ASSERT((chosen == nullptr) == (waits || newest == 0));
    if (chosen != nullptr) RC_ASSERT(chosen->revision == newest);
  });
}

}  // namespace fuchsiaweir
