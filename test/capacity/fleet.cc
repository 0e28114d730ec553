#include "capacity/fleet.h"

#include <absl/strings/str_cat.h>

#include "core/digest.h"

namespace fuchsiaweir::capacity {
namespace {

constexpr int kDataCentres = 4;
constexpr int kDataCentresPerRegion = 2;
constexpr int kInstancesPerService = 4;
constexpr int kAddressesPerSubnet = 250;
constexpr int kBasePort = 7400;

std::string DataCentreName(int i) { return absl::StrCat("fleet-dc", i % kDataCentres); }

/// Returns an address of 10.0.0.0/8. The processes of a measurement do not connect to it.
std::string Address(int network, int i) {
  return absl::StrCat("10.", network, ".", i / kAddressesPerSubnet, ".",
                      i % kAddressesPerSubnet + 1);
}

void AppendHosts(std::string& text, const std::string& role, const std::string& prefix, int network,
                 int count) {
  for (int i = 0; i < count; ++i) {
    absl::StrAppend(&text, "[host ", prefix, i, "]\ndata_centre = ", DataCentreName(i),
                    "\naddress = ", Address(network, i), "\nport = ", kBasePort, "\nrole = ", role,
                    "\n");
  }
}

}  // namespace

std::string FleetInventoryText(const FleetSize& size) {
  std::string text;
  for (int i = 0; i < kDataCentres; ++i) {
    absl::StrAppend(&text, "[data_centre ", DataCentreName(i), "]\nregion = fleet-r",
                    i / kDataCentresPerRegion, "\n");
  }
  AppendHosts(text, "entry", "fleet-entry", 1, size.entries);
  AppendHosts(text, "agent", "fleet-host", 2, size.runner_hosts);
  AppendHosts(text, "agent", "fleet-service-host", 3, size.service_hosts);
  for (int i = 0; i < size.models; ++i) {
    absl::StrAppend(&text, "[model fleet-model", i,
                    "]\nversion = 2026-12-01\nkv_bytes_per_token = 65536\n");
  }
  for (int i = 0; i < size.runners; ++i) {
    const int host = i % size.runner_hosts;
    absl::StrAppend(&text, "[runner fleet-runner", i, "]\nhost = fleet-host", host,
                    "\nmodel = fleet-model", i % size.models, "\naddress = ", Address(2, host),
                    "\nport = ", kBasePort + 1 + i / size.runner_hosts,
                    "\ncold_limit = 4\nmax_concurrent = 128\nprefill_tokens_per_second = 40000\n"
                    "cache_blocks = 512\n");
  }
  for (int i = 0; i < size.stores; ++i) {
    absl::StrAppend(&text, "[store fleet-store", i, "]\ndata_centre = ", DataCentreName(i),
                    "\naddress = ", Address(4, i), "\nport = ", kBasePort,
                    "\ncapacity_blocks = 500000\n");
  }
  for (int i = 0; i < size.service_hosts; ++i) {
    absl::StrAppend(&text, "[service fleet-service", i, "]\nservice = fleet-booking",
                    i / kInstancesPerService, "\nhost = fleet-service-host", i,
                    "\naddress = ", Address(3, i), "\nport = ", kBasePort + 1,
                    "\nnon_idempotent = /book, /deposit\n");
  }
  for (int i = 0; i < size.teams; ++i) {
    absl::StrAppend(&text, "[team fleet-team", i,
                    "]\nkey_digests = ", Sha256Hex(absl::StrCat("fleet-key-", i)),
                    "\nweight = 1\nmax_concurrent = 128\ntokens_per_second = 200000\n");
  }
  return text;
}

}  // namespace fuchsiaweir::capacity
