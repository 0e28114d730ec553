#include "core/service_state.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr int kDataCentres = 2;
constexpr int kHosts = 4;

/// Four hosts with a runner each in two data centres.
struct Site {
  Inventory inventory;
  std::vector<ListedHost> hosts;
  std::vector<TightenOrder> orders;
  TimePoint now;

  Site() {
    for (int i = 0; i < kDataCentres; ++i) {
      inventory.data_centres.push_back({"p" + std::to_string(i), "region", true});
    }
    for (int i = 0; i < kHosts; ++i) {
      Host host;
      host.name = "p" + std::to_string(i);
      host.data_centre = "p" + std::to_string(i % kDataCentres);
      inventory.hosts.push_back(host);
      Runner runner;
      runner.name = "r" + std::to_string(i);
      runner.host = host.name;
      inventory.runners.push_back(runner);
      hosts.push_back({host.name, host.data_centre, false});
    }
  }

  ServiceView view() const { return {inventory, hosts, orders, now}; }

  /// One entry per data centre, host and runner.
  std::vector<bool> Accepted() const {
    std::vector<bool> accepted;
    for (const DataCentre& dc : inventory.data_centres) {
      accepted.push_back(StateOfDataCentre(view(), dc.name) == ServiceState::kAccepting);
    }
    for (const Host& host : inventory.hosts) {
      accepted.push_back(StateOfHost(view(), host.name) == ServiceState::kAccepting);
    }
    for (const Runner& runner : inventory.runners) {
      accepted.push_back(StateOfRunner(view(), runner.name) == ServiceState::kAccepting);
    }
    return accepted;
  }
};

/// Tells whether every place accepted in `narrow` is accepted in `wide`.
bool Within(const std::vector<bool>& narrow, const std::vector<bool>& wide) {
  for (size_t i = 0; i < narrow.size(); ++i) {
    if (narrow[i] && !wide[i]) return false;
  }
  return true;
}

/// The latest expiry that any order asked for, per data centre and host.
struct ExpiryModel {
  TimePoint data_centres[kDataCentres];
  TimePoint hosts[kHosts];
};

void CheckAgainstModel(const Site& site, const ExpiryModel& model) {
  for (int i = 0; i < kHosts; ++i) {
    const int dc = i % kDataCentres;
    const bool accepts = site.inventory.data_centres[dc].in_service &&
                         site.inventory.hosts[i].in_service && !site.hosts[i].leaving &&
                         site.now >= model.data_centres[dc] && site.now >= model.hosts[i];
    const std::string runner = "r" + std::to_string(i);
    RC_ASSERT((StateOfRunner(site.view(), runner) == ServiceState::kAccepting) == accepts);
    RC_ASSERT(StateOfHost(site.view(), "p" + std::to_string(i)) ==
              StateOfRunner(site.view(), runner));
  }
  for (int i = 0; i < kDataCentres; ++i) {
    const bool accepts =
        site.inventory.data_centres[i].in_service && site.now >= model.data_centres[i];
    RC_ASSERT((StateOfDataCentre(site.view(), "p" + std::to_string(i)) ==
               ServiceState::kAccepting) == accepts);
  }
}

}  // namespace

TEST_GROUP(ServiceState){};

// Guards against a tighten order that lets a place accept more than the configuration and the host
// list allow, that shortens another order, or that outlives its validity.
TEST(ServiceState, TightenOrdersNeverWiden) {
  CheckProperty("orders only reduce what is accepted, until they expire", [] {
    Site site;
    ExpiryModel model;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100)));
    for (const auto& [kind, value] : steps) {
      const int dc = value % kDataCentres;
      const int host = value % kHosts;
      const std::vector<bool> before = site.Accepted();
      if (kind == 0) site.inventory.data_centres[dc].in_service = value % 3 != 0;
      if (kind == 1) site.inventory.hosts[host].in_service = value % 3 != 0;
      if (kind == 2) site.hosts[host].leaving = value % 3 == 0;
      if (kind == 3) site.now += Seconds(value);
      if (kind >= 4) {
        const bool whole = kind == 4;
        const int index = whole ? dc : host;
        site.orders =
            AddTightenOrder(site.view(), whole ? ServiceScope::kDataCentre : ServiceScope::kHost,
                            "p" + std::to_string(index), Seconds(value + 1))
                .value();
        TimePoint& expiry = whole ? model.data_centres[index] : model.hosts[index];
        expiry = std::max(expiry, site.now + Seconds(value + 1));
        RC_ASSERT(Within(site.Accepted(), before));
        RC_ASSERT(site.orders.size() <= static_cast<size_t>(kDataCentres + kHosts));
      }
      Site without_orders = site;
      without_orders.orders.clear();
      RC_ASSERT(Within(site.Accepted(), without_orders.Accepted()));
      CheckAgainstModel(site, model);
    }
  });
}

// Guards against orders that grow the memory of a process or take a place away for good.
TEST(ServiceState, UnboundedOrdersAreRefused) {
  const Site site;
  const ServiceScope scope = ServiceScope::kHost;
  CHECK(AddTightenOrder(site.view(), scope, "p3", kMaxTightenValidity).has_value());
  const auto refusal = [&](ServiceScope where, const std::string& name, Duration validity) {
    const auto added = AddTightenOrder(site.view(), where, name, validity);
    return std::string(added.has_error() ? Name(added.error().code) : "added");
  };
  STRCMP_EQUAL("not_found", refusal(scope, "p4", Seconds(1)).c_str());
  STRCMP_EQUAL("not_found", refusal(ServiceScope::kDataCentre, "p3", Seconds(1)).c_str());
  for (const Duration validity : {Duration(0), Seconds(-1), kMaxTightenValidity + Micros(1)}) {
    STRCMP_EQUAL("bad_request", refusal(scope, "p3", validity).c_str());
  }
}

// Guards against a status answer that gives the wrong reason, and against work for a place that the
// inventory no longer names or that the lagging host list does not show yet.
TEST(ServiceState, ReportsTheReason) {
  Site site;
  const auto name = [&] { return std::string(Name(StateOfRunner(site.view(), "r0"))); };
  site.hosts.clear();
  STRCMP_EQUAL("accepting", name().c_str());
  site.orders = AddTightenOrder(site.view(), ServiceScope::kHost, "p0", Seconds(3)).value();
  STRCMP_EQUAL("tightened", name().c_str());
  site.hosts.push_back({"p0", "p0", true});
  STRCMP_EQUAL("host_leaving", name().c_str());
  site.inventory.hosts[0].in_service = false;
  STRCMP_EQUAL("host_out", name().c_str());
  site.inventory.data_centres[0].in_service = false;
  STRCMP_EQUAL("data_centre_out", name().c_str());
  site.inventory.hosts.clear();
  STRCMP_EQUAL("not_configured", name().c_str());
}

}  // namespace fuchsiaweir
