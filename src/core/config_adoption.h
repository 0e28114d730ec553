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

/// A configuration in force: the document and its parsed inventory.
struct ActiveConfig {
  ConfigDocument document;
  Inventory inventory;
};

/// What became of an offered document.
enum class Adoption {
  kAdopted,
  kNotNewer,  ///< The document's revision is not above the floor.
  kInvalid,   ///< The inventory has findings; the configuration in force stays.
};

/// Holds a process's configuration. The revision in force is the floor and never decreases.
class ConfigAdoption {
 public:
  /// Adopts the document when it is newer and valid, whatever its source is.
  Adoption Offer(const ConfigDocument& document);

  /// Returns the revision in force, 0 before the first one.
  int64_t floor() const { return active_ ? active_->document.revision : 0; }

  /// Tells whether a revision seen in a message is to be fetched from its sender.
  bool IsNewer(int64_t revision) const { return revision > floor(); }

  /// Returns the configuration in force, or null before the first one. Holders keep theirs while
  /// a newer one is adopted.
  const std::shared_ptr<const ActiveConfig>& active() const { return active_; }

  /// Returns the findings of the last kInvalid offer.
  const std::string& rejection() const { return rejection_; }

 private:
  std::shared_ptr<const ActiveConfig> active_;
  std::string rejection_;
};

/// Peers whose answers a starting process waits for.
inline constexpr size_t kStartPeers = 3;

/// Answers that a starting process has collected.
struct StartAnswers {
  std::optional<ConfigDocument> platform;
  bool platform_failed = false;
  std::vector<ConfigDocument> peers;
  size_t peers_asked = 0;
  size_t peers_failed = 0;  ///< Includes peers that have no configuration yet.
  bool deadline_passed = false;
};

/// Returns the newest document once the platform and kStartPeers peers (or as many as can answer)
/// have answered or failed, or once the deadline has passed. Returns null while the process has to
/// wait. The platform may give an old answer and a peer may lag, so that one source is not enough.
const ConfigDocument* ChooseStartDocument(const StartAnswers& answers);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_CONFIG_ADOPTION_H_
