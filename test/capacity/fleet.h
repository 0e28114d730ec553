#ifndef FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_
#define FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_

#include <string>

namespace fuchsiaweir::capacity {

/// Number of sections of each type in a generated inventory. The defaults are the two-year size,
/// that is, the fleet that capacity is planned for.
struct FleetSize {
  int entries = 24;
  int runner_hosts = 300;
  int service_hosts = 16;
  int runners = 600;
  int stores = 40;
  int teams = 330;
  int models = 14;
};

/// Returns the text of an inventory with four data centres in two regions and without [rules]. All
/// names start with "fleet-", so that the text can be appended to that of a test deployment.
std::string FleetInventoryText(const FleetSize& size);

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_FLEET_H_
