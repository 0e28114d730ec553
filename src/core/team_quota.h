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

/// Limits each team's token rate and number of concurrent requests in one entry process.
class TeamQuota {
 public:
  /// Sets the limits from the inventory. Each of `entry_count` entry processes grants an equal
  /// share, rounded up. Requests in progress and consumed tokens remain accounted for.
  void Configure(const std::vector<Team>& teams, size_t entry_count);

  /// Admits a request of `tokens` tokens and returns nullopt, or refuses it as not run with
  /// kQuotaExceeded and the time after which a retry may succeed. Fails with kUnauthorized for an
  /// unknown team.
  std::optional<Error> Admit(const std::string& team, int64_t tokens, TimePoint now);

  /// Must be called once at the end of each admitted request.
  void Release(const std::string& team);

  /// Returns the number of the team's requests in progress.
  int64_t Running(const std::string& team) const;

 private:
  struct Bucket {
    bool configured = false;
    int64_t max_concurrent = 0;
    double tokens_per_second = 0;
    int64_t running = 0;
    double tokens = 0;  ///< Negative after a request larger than the balance, until refilled.
    std::optional<TimePoint> refilled_at;
  };

  std::map<std::string, Bucket> buckets_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_TEAM_QUOTA_H_
