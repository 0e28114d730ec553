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

/// Result of serving a prompt.
struct ServeResult {
  int64_t fetched_tokens = 0;
  int64_t cached_tokens = 0;
  Duration prepare{0};  ///< Duration of `BlockMover::Prepare`.
  std::string output;
};

/// Two in-process block movers, one per agent, with two stand-in engines and two stand-in stores.
/// Agent i has runner i. An engine computes a block of 50 tokens in 100 ms; a store sends its
/// 32,000 bytes in 3.2 ms.
class BlockRig {
 public:
  static constexpr int kBlocks = 8;
  static constexpr int64_t kBlockTokens = 50;
  /// Tokens in the complete blocks of a prompt.
  static constexpr int64_t kChainTokens = kBlocks * kBlockTokens;
  static constexpr int64_t kPromptTokens = kChainTokens + 5;

  BlockRig();
  ~BlockRig();

  /// Prepares and runs a prompt at an agent and retains its blocks. `seed` selects the prompt.
  ServeResult Serve(int agent, int seed, const std::string& team = "alpha",
                    const std::string& version = "v1");
  /// Serves a prompt at agent 0 until its blocks are in the stores.
  ServeResult Store(int seed);
  /// Clears the runner's accelerator memory and resets its agent's view of it.
  void ClearRunnerMemory(int agent);

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
  /// Returns the sum of a counter over the running stores.
  int64_t StoreCounter(const std::string& name);
  void InjectStoreFault(const std::string& json);
  /// Returns whether the agent's metrics contain a line that starts with this text.
  bool HasMetric(int agent, const std::string& text);
  /// Returns the number of imports whose bytes did not match the block.
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
