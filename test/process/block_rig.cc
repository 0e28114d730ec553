#include "process/block_rig.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/ini_document.h"

namespace fuchsiaweir::testing {
namespace {

constexpr int64_t kPrefillTokensPerSecond = 500;

Deployment::Options RigOptions() {
  Deployment::Options options;
  options.stores = 2;
  options.engine_flags = {absl::StrCat("--prefill_tokens_per_second=", kPrefillTokensPerSecond),
                          "--token_micros=100"};
  return options;
}

std::vector<std::string> Tokens(int seed) {
  std::vector<std::string> tokens;
  for (int64_t i = 0; i < BlockRig::kPromptTokens; ++i) {
    tokens.push_back(absl::StrCat("w", seed, "x", i, " "));
  }
  return tokens;
}

std::vector<std::string> Hex(const std::vector<BlockId>& chain) {
  std::vector<std::string> ids;
  for (const BlockId& id : chain) ids.push_back(ToHex(id));
  return ids;
}

}  // namespace

BlockRig::BlockRig() : deployment_(RigOptions()) {
  deployment_.StartEnginesAndStores();
  Findings findings;
  inventory_ = std::make_shared<const Inventory>(
      ParseInventory(ParseIni(deployment_.inventory(), "inventory", findings), findings).value());
  for (int i = 0; i < 2; ++i) {
    auto agent = std::make_unique<Agent>();
    BlockMoverOptions options;
    options.host = absl::StrCat("agent", i);
    options.data_centre = i == 0 ? "east" : "west";
    const Endpoint engine{"127.0.0.1",
                          static_cast<uint16_t>(deployment_.port(absl::StrCat("engine", i)))};
    agent->engine = MakeHttpEngineClient(client_, engine);
    agent->mover = std::make_unique<BlockMover>(
        io_, client_, [this]() { return inventory_; }, agent->metrics, options);
    agent->mover->ApplyInventory();
    agents_.push_back(std::move(agent));
  }
}

BlockRig::~BlockRig() = default;

void BlockRig::Run(const std::function<Awaitable<void>()>& body) {
  bool done = false;
  boost::asio::co_spawn(io_, body, [&done](const std::exception_ptr&) { done = true; });
  while (!done) io_.run_one();
}

void BlockRig::RunFor(Duration duration) {
  Run([duration]() { return SleepFor(duration); });
}

BlockDemand BlockRig::Demand(int agent, int seed, const std::string& team,
                             const std::string& version) {
  BlockDemand demand;
  demand.runner = absl::StrCat("runner", agent);
  demand.team = team;
  demand.model = "model";
  demand.chain = BlockChain({team, "model", "", version}, Tokens(seed), kBlockTokens);
  demand.block_tokens = kBlockTokens;
  demand.prompt_tokens = kPromptTokens;
  demand.prefill_tokens_per_second = kPrefillTokensPerSecond;
  demand.time_left = Seconds(5);
  return demand;
}

ServeResult BlockRig::Serve(int agent, int seed, const std::string& team,
                            const std::string& version) {
  ServeResult served;
  const BlockDemand demand = Demand(agent, seed, team, version);
  GenerateRequest request;
  request.run = absl::StrCat("run", ++runs_);
  request.prompt = Tokens(seed);
  request.blocks = Hex(demand.chain);
  request.block_tokens = demand.block_tokens;
  request.max_tokens = 2;
  Run([&]() -> Awaitable<void> {
    const TimePoint before = SteadyNow();
    const PreparedBlocks prepared = co_await mover(agent).Prepare(demand);
    served.prepare = SteadyNow() - before;
    served.fetched_tokens = prepared.fetched_tokens;
    const auto stream = co_await engine(agent).Generate(request, Seconds(10));
    while (true) {
      const EngineEvent event = co_await stream->Next(Seconds(10));
      served.output += absl::StrJoin(event.tokens, "");
      served.cached_tokens = event.cached_tokens;
      if (event.type != EngineEvent::Type::kTokens) break;
    }
    mover(agent).Retain(demand);
  });
  return served;
}

ServeResult BlockRig::Store(int seed) {
  const int64_t before = StoreCounter("seals");
  const ServeResult first = Serve(0, seed);
  for (int i = 0; i < 4 && StoreCounter("seals") < before + kBlocks; ++i) {
    Serve(0, seed);
    RunFor(Millis(500));
  }
  return first;
}

void BlockRig::ClearRunnerMemory(int agent) {
  deployment_.InjectFault(absl::StrCat("engine", agent), R"({"cold":true})");
  mover(agent).OnEngineReset(absl::StrCat("runner", agent));
}

int64_t BlockRig::StoreCounter(const std::string& name) {
  int64_t sum = 0;
  for (const char* store : {"store0", "store1"}) {
    if (deployment_.Running(store)) sum += deployment_.Stats(store).at(name).as_int64();
  }
  return sum;
}

void BlockRig::InjectStoreFault(const std::string& json) {
  for (const char* store : {"store0", "store1"}) deployment_.InjectFault(store, json);
}

bool BlockRig::HasMetric(int agent, const std::string& text) {
  const std::string metrics = agents_[static_cast<size_t>(agent)]->metrics.Text();
  for (const auto line : absl::StrSplit(metrics, '\n')) {
    if (absl::StartsWith(line, text)) return true;
  }
  return false;
}

int64_t BlockRig::BadImports() {
  return deployment_.Stats("engine0").at("bad_imports").as_int64() +
         deployment_.Stats("engine1").at("bad_imports").as_int64();
}

}  // namespace fuchsiaweir::testing
