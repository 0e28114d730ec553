#include "core/request_limits.h"

namespace fuchsiaweir {

bool RequestLimits::Update(const std::string& runner, const RequestLimit& limit) {
  const auto known = limits_.find(runner);
  if (known == limits_.end() && !limit.per_second) return false;
  if (known != limits_.end() && limit.as_of < known->second.as_of) return false;
  const bool changed = known == limits_.end() || known->second.per_second != limit.per_second;
  if (limit.per_second) {
    limits_[runner] = limit;
  } else {
    limits_.erase(known);
  }
  return changed;
}

std::optional<double> RequestLimits::PerSecond(const std::string& runner) const {
  const auto known = limits_.find(runner);
  return known == limits_.end() ? std::nullopt : known->second.per_second;
}

}  // namespace fuchsiaweir
