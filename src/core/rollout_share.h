#ifndef FUCHSIAWEIR_CORE_ROLLOUT_SHARE_H_
#define FUCHSIAWEIR_CORE_ROLLOUT_SHARE_H_

#include <cstdint>
#include <map>
#include <string>

namespace fuchsiaweir {

/// Limits what one gateway sends to a version on trial, without any message: at most a share of the
/// requests that it has sent to the service since the order, plus its part of the slack. The sum
/// over all gateways is therefore within the share of all requests plus the slack.
///
/// Load pattern: routes with very different rates. Each route gets its share, so that the trial
/// covers all of them.
class RolloutShare {
 public:
  /// `slack` is the part of this gateway.
  RolloutShare(double share, int64_t slack) : share_(share), slack_(slack) {}

  /// Whether a request of this route may go to the version on trial.
  bool HasRoom(const std::string& route) const;
  /// Counts a request from its placement on, before it is sent, so that concurrent placements take
  /// it into account.
  void OnTrial(const std::string& route);
  /// Counts a request when it is first sent to a runner of any version.
  void OnSent(const std::string& route);

  int64_t sent() const { return all_.sent; }
  int64_t on_trial() const { return all_.on_trial; }

 private:
  struct Counts {
    int64_t sent = 0;
    int64_t on_trial = 0;
  };

  double share_;
  int64_t slack_;
  Counts all_;
  std::map<std::string, Counts> routes_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_ROLLOUT_SHARE_H_
