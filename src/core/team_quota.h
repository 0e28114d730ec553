#ifndef FUCHSIAWEIR_CORE_TEAM_QUOTA_H_
#define FUCHSIAWEIR_CORE_TEAM_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/inventory.h"
#include "core/result.h"

namespace fuchsiaweir {

/// Limits each team's token rate and concurrent requests at one entry.
class TeamQuota {
 public:
  /// Sets the limits from the inventory. Each of `entries` processes grants an equal share, rounded
  /// up. Requests in progress and spent tokens stay counted.
  void Configure(const std::vector<Team>& teams, size_t entries);

  /// Admits a request of this many tokens, or refuses it as not_run with kQuotaExceeded and the
  /// time after which it may succeed. An unknown team gives kUnauthorized.
  std::optional<Error> Admit(const std::string& team, int64_t tokens, TimePoint now);

  /// Ends an admitted request.
  void Release(const std::string& team);

  /// Requests of the team in progress.
  int64_t Running(const std::string& team) const;

 private:
  struct Bucket {
    bool configured = false;
    int64_t max_concurrent = 0;
    double tokens_per_second = 0;
    int64_t running = 0;
    double tokens = 0;  ///< Negative while the team pays off a large request.
    std::optional<TimePoint> filled_at;
  };

  std::map<std::string, Bucket> buckets_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_TEAM_QUOTA_H_
