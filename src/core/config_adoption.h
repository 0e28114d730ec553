#ifndef FUCHSIAWEIR_CORE_CONFIG_ADOPTION_H_
#define FUCHSIAWEIR_CORE_CONFIG_ADOPTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config_document.h"
#include "core/inventory.h"

namespace fuchsiaweir {

/// The configuration in force: a document and its parsed inventory.
struct ActiveConfig {
  ConfigDocument document;
  Inventory inventory;
};

/// Result of offering a document to ConfigAdoption.
enum class Adoption {
  kAdopted,
  kNotNewer,  ///< The document's revision is not above the one in force.
  kInvalid,   ///< The inventory has findings; the configuration in force stays.
};

/// Holds a process's configuration. The revision in force never decreases.
class ConfigAdoption {
 public:
  /// Adopts the document if it is newer and valid, regardless of its source.
  Adoption Offer(const ConfigDocument& document);

  /// Returns the revision in force; 0 before the first one.
  int64_t active_revision() const { return active_ ? active_->document.revision : 0; }

  /// Returns whether a revision announced in a message should be fetched from its sender.
  bool IsNewer(int64_t revision) const { return revision > active_revision(); }

  /// Returns the configuration in force, or null before the first one. It stays valid for those who
  /// hold it when a newer one is adopted.
  const std::shared_ptr<const ActiveConfig>& active() const { return active_; }

  /// Returns the findings of the last document rejected as kInvalid.
  const std::string& rejection() const { return rejection_; }

 private:
  std::shared_ptr<const ActiveConfig> active_;
  std::string rejection_;
};

/// Number of peers whose answers a starting process waits for.
inline constexpr size_t kStartPeerAnswers = 3;

/// Answers that a starting process has received so far.
struct StartAnswers {
  std::optional<ConfigDocument> platform;
  bool platform_failed = false;
  std::vector<ConfigDocument> peers;
  size_t peers_queried = 0;
  size_t peers_failed = 0;  ///< Includes peers that have no configuration yet.
  bool deadline_passed = false;
};

/// Returns the newest document once the platform has answered or failed and kStartPeerAnswers peers
/// (or all that can) have answered, or once the deadline has passed; null while the process has to
/// wait. A single source is not enough: the platform may return a stale object and a peer may lag.
const ConfigDocument* ChooseStartDocument(const StartAnswers& answers);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CONFIG_ADOPTION_H_
