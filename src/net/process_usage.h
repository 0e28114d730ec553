#ifndef FUCHSIAWEIR_NET_PROCESS_USAGE_H_
#define FUCHSIAWEIR_NET_PROCESS_USAGE_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "net/component_registry.h"
#include "net/log.h"

namespace fuchsiaweir {

/// What the process uses of its host; nothing for a figure that the system does not report.
struct Usage {
  std::optional<int64_t> resident_bytes;
  std::optional<int64_t> peak_bytes;
  std::optional<int64_t> descriptors;
  std::optional<int64_t> processor_ms;
};

Usage ReadUsage();

/// Logs the usage of the process periodically, and a warning when its memory comes near the limit.
class ProcessUsage : public Component {
 public:
  /// `limit_bytes` returns the memory of the host; `more_fields` returns further fields of the
  /// periodic record.
  ProcessUsage(ComponentRegistry& components, std::function<int64_t()> limit_bytes,
               std::function<LogFields()> more_fields);

 private:
  void Report() const;
  void CheckMemory();

  std::function<int64_t()> limit_bytes_;
  std::function<LogFields()> more_fields_;
  bool near_limit_ = false;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_PROCESS_USAGE_H_
