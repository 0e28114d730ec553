#ifndef FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_
#define FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_

#include <string>

namespace fuchsiaweir::capacity {

/// Numbers of the sections of a generated inventory. The defaults are the two-year size.
struct FleetSize {
  int entries = 24;
  int runner_hosts = 300;
  int service_hosts = 16;
  int runners = 600;
  int stores = 40;
  int teams = 330;
  int models = 14;
};

/// Returns an inventory text of this size with four data centres in two regions, without [rules].
/// All names begin with "fleet-", so that the text can follow the inventory of a test deployment.
std::string FleetText(const FleetSize& size);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_
