#ifndef FUCHSIAWEIR_TEST_PROCESS_BLOCK_RIG_H_
#define FUCHSIAWEIR_TEST_PROCESS_BLOCK_RIG_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/block_mover.h"
#include "net/http_client.h"
#include "net/metrics.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {

/// What a prompt got.
struct Served {
  int64_t fetched_tokens = 0;
  int64_t cached_tokens = 0;
  Duration prepare{0};
  std::string output;
};

/// Block movers of two agents in this process, with two engines and two stores as stand-ins. Agent
/// i has runner i. An engine computes a block of 50 tokens in 100 ms; a store sends its 32,000
/// bytes in 3.2 ms.
class BlockRig {
 public:
  static constexpr int kBlocks = 8;
  static constexpr int64_t kPromptTokens = kBlocks * 50 + 5;

  BlockRig();
  ~BlockRig();

  /// Prepares and runs the prompt at an agent and retains its blocks. `seed` chooses the prompt.
  Served Serve(int agent, int seed, const std::string& team = "alpha",
               const std::string& version = "v1");
  /// Serves a prompt at agent 0 until its blocks are in the stores.
  Served Store(int seed);
  /// Empties the runner's accelerator memory, as its agent learns.
  void EmptyRunner(int agent);

  /// Starts a coroutine; it advances during `Run` and `RunFor`.
  void Start(std::function<Awaitable<void>()> body) { Spawn(io_, "test", std::move(body)); }
  /// Runs a coroutine to its end.
  void Run(const std::function<Awaitable<void>()>& body);
  void RunFor(Duration duration);

  BlockDemand Demand(int agent, int seed, const std::string& team, const std::string& version);
  BlockMover& mover(int agent) { return *agents_[static_cast<size_t>(agent)]->mover; }
  EngineClient& engine(int agent) { return *agents_[static_cast<size_t>(agent)]->engine; }
  Deployment& deployment() { return deployment_; }
  HttpClient& client() { return client_; }
  /// Sum over the stores of a counter.
  int64_t StoreStat(const std::string& name);
  void FaultStores(const std::string& json);
  /// Whether the agent's metrics contain a line that starts with this text.
  bool HasMetric(int agent, const std::string& text);
  /// Imports that an engine received with bytes that are not the block's.
  int64_t BadImports();

 private:
  struct Agent {
    Metrics metrics;
    std::shared_ptr<EngineClient> engine;
    std::unique_ptr<BlockMover> mover;
  };

  Deployment deployment_;
  boost::asio::io_context io_{1};
  HttpClient client_{io_};
  std::shared_ptr<const Inventory> inventory_;
  std::vector<std::unique_ptr<Agent>> agents_;
  int runs_ = 0;
};

}  // namespace fuchsiaweir::testing

#endif  // FUCHSIAWEIR_TEST_PROCESS_BLOCK_RIG_H_
