#include <limits>

#include "experiment/policy.h"

namespace fuchsiaweir::experiment {
namespace {

/// Interim stand-in for the product's decisions.
class Product : public Policy {
 public:
  int Place(const Request& request, const Fleet& fleet, TimePoint now) override {
    int best = kRefuse;
    double best_ttft = std::numeric_limits<double>::max();
    Job job;
    job.request = &request;
    job.queued_at = now;
    for (const Runner& runner : fleet.runners) {
      if (!Serves(runner, request, true) || runner.loading) continue;
      job.runner = runner.id;
      job.blocks = BlocksOf(request, runner.weight_version);
      const double ttft = EstimateOn(*this, job, fleet, now).ttft;
      if (ttft >= best_ttft) continue;
      best = runner.id;
      best_ttft = ttft;
    }
    return best;
  }

  int bid_round_trips() const override { return 1; }
  Duration drain_delay() const override { return Seconds(1); }
};

}  // namespace

std::unique_ptr<Policy> MakeProductPolicy(const Deployment&) { return std::make_unique<Product>(); }

}  // namespace fuchsiaweir::experiment
