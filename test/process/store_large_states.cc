// Tests of what a desired state with many routes costs the links between gateways.

#include <CppUTest/TestHarness.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int kGateways = 8;
/// With so many gateways two of them are relays, from which the others read.
constexpr int kReaders = kGateways - 2;
/// Number of routes by which operators let a desired state grow.
constexpr int kRoutes = 1'400;
constexpr int kChanges = 4;
constexpr Duration kDesiredStateBound = Seconds(2);
/// What a link of 10 Mbit/s, the slowest of a gateway, sends in the bound of one change.
constexpr double kLinkBytesInBound = 10e6 / 8 * 2;
/// What such a link sends in 50 ms, for which a whole desired state may keep callers' answers
/// waiting.
constexpr double kLinkBytesOfWholeState = 10e6 / 8 * 0.05;

/// Returns the bytes of desired states that the gateways have sent to each other.
double SentBytes(const Fleet& fleet) {
  constexpr std::string_view kMetric = R"(fuchsiaweir_relay_sent_bytes_total{kind="config"} )";
  double sum = 0;
  for (int i = 0; i < kGateways; ++i) {
    const std::string metrics = Send("GET", fleet.metrics_port(i), "/metrics").body;
    const size_t found = metrics.find(kMetric);
    if (found == std::string::npos) continue;
    const std::string rest = metrics.substr(found + kMetric.size());
    double bytes = 0;
    CHECK(absl::SimpleAtod(rest.substr(0, rest.find('\n')), &bytes));
    sum += bytes;
  }
  return sum;
}

/// Waits until all gateways have put a version of the desired state in force.
bool Adopted(const Fleet& fleet, int64_t version) {
  const std::string adopted =
      absl::StrCat(R"("event":"desired_state_adopted","revision":")", version, "\"");
  return Eventually([&]() { return fleet.AllGatewaysLogged(adopted); }, kDesiredStateBound);
}

}  // namespace

TEST_GROUP(StoreLargeStates){};

// Guards against relays that send a desired state that has grown at its full length to each reader:
// it fills a link of 10 Mbit/s for 0.2 s, and callers' answers on it are late.
TEST(StoreLargeStates, AWholeStateIsSentCompressed) {
  Fleet fleet(kGateways, 1);
  fleet.Start();
  SleepMillis(4'000);  // The gateways have listed each other, and read from relays.
  const double before = SentBytes(fleet);
  CHECK(fleet.PutDesiredState({"key-1"}, kRoutes));
  CHECK(Adopted(fleet, 6));
  const double sent = SentBytes(fleet) - before;
  CHECK_TEXT(sent > 0 && sent < kReaders * kLinkBytesOfWholeState,
             absl::StrCat(sent, " bytes").c_str());
}

// Guards against relays that send the whole desired state to each reader for each change: with many
// routes this fills a link of 10 Mbit/s, so that reads time out and callers' answers are late.
TEST(StoreLargeStates, AChangeCostsItsOwnSizeBetweenGateways) {
  Fleet fleet(kGateways, 1);
  fleet.Start();
  fleet.PutDesiredState({"key-1"}, kRoutes);
  SleepMillis(4'000);  // The gateways have listed each other, and read from relays.
  const double before = SentBytes(fleet);
  int64_t revision = 6;
  for (int change = 0; change < kChanges; ++change) {
    CHECK(fleet.PutDesiredState({"key-1", absl::StrCat("key-", change)}, kRoutes));
    revision += 3;
    CHECK(Adopted(fleet, revision));
  }
  const double sent = SentBytes(fleet) - before;
  CHECK_TEXT(sent > 0 && sent < kLinkBytesInBound, absl::StrCat(sent, " bytes").c_str());
}

}  // namespace fuchsiaweir::testing
