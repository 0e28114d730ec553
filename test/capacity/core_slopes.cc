#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>

#include "capacity/fleet.h"
#include "capacity/slope.h"
#include "capacity/usage.h"
#include "core/bid.h"
#include "core/block_arena.h"
#include "core/block_chain.h"
#include "core/candidate_choice.h"
#include "core/claim.h"
#include "core/config_document.h"
#include "core/dispatch_choice.h"
#include "core/frame.h"
#include "core/hot_prefix_detector.h"
#include "core/inventory.h"
#include "core/peer_auth.h"
#include "core/retention_policy.h"
#include "core/run_message.h"
#include "core/tokenizer.h"
#include "net/deflate.h"

namespace fuchsiaweir::capacity {
namespace {

constexpr int kRepetitions = 7;
constexpr double kMinRepetitionMicros = 10'000;
/// Load pattern: 2,900 requests/s, the peak of the two-year size.
constexpr Duration kRequestInterval = Micros(345);
constexpr uint64_t kMaxEstimateMicros = 200'000;
constexpr Duration kBlockInterval = Millis(10);

/// Returns the CPU time of one call: the minimum of several repetitions, because other load on the
/// same cores can only add time.
double MicrosPerCall(const std::function<void()>& call) {
  double min_micros = 1e18;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const double begin = OwnCpuTimeMicros();
    int calls = 0;
    while (OwnCpuTimeMicros() - begin < kMinRepetitionMicros) {
      call();
      ++calls;
    }
    min_micros = std::min(min_micros, (OwnCpuTimeMicros() - begin) / calls);
  }
  return min_micros;
}

/// Returns the number of bytes allocated on the heap of this process.
double AllocatedHeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);  // hblkhd: large allocations.
}

std::string RandomBlockIdHex(std::mt19937_64& random) { return ToHex(BlockId{random(), random()}); }

std::string PromptText(int64_t tokens) {
  // Each word has six bytes including its space; a token of English text has about five.
  std::string text;
  for (int64_t i = 0; i < tokens; ++i) absl::StrAppend(&text, 10'000 + i % 90'000, " ");
  return text;
}

std::vector<Slope> MeasureBids(uint64_t seed) {
  std::mt19937_64 random(seed);
  Slope request_cost{"bid_ask_us", "blocks", "us at the entry per bid", {}};
  Slope response_cost{"bid_answer_us", "blocks", "us at the agent per bid, two runners", {}};
  Slope bytes{"bid_bytes", "blocks", "body bytes of question and answer", {}};
  for (const int blocks : {1, 4, 8, 16, 32}) {
    BidRequest request{"fleet-team12", "fleet-model3", {}, blocks * 2000, 400, 1, 60'000};
    for (int i = 0; i < blocks; ++i) request.blocks.push_back(RandomBlockIdHex(random));
    const std::string body = EncodeBidRequest(request);
    RunnerLoad load;
    load.runner = "fleet-runner123";
    load.model = request.model;
    load.resident_blocks = blocks / 2;
    const auto answer_request = [&]() {
      const BidRequest decoded = DecodeBidRequest(body).value();
      std::vector<Bid> bids;
      for (int i = 0; i < 2; ++i) bids.push_back(MakeBid(decoded, load).value());
      return EncodeBidResponse(bids);
    };
    const std::string response = answer_request();
    request_cost.points.emplace_back(
        blocks, MicrosPerCall([&]() {
          if (EncodeBidRequest(request).empty() || !DecodeBidResponse(response)) {
            throw std::runtime_error("a bid response cannot be decoded");
          }
        }));
    response_cost.points.emplace_back(blocks, MicrosPerCall([&]() { answer_request(); }));
    bytes.points.emplace_back(blocks, static_cast<double>(body.size() + response.size()));
  }
  return {request_cost, response_cost, bytes};
}

std::vector<Slope> MeasureFrames(uint64_t) {
  Slope encode{"frame_encode_us", "tokens", "us at the agent per frame", {}};
  Slope decode{"frame_decode_us", "tokens", "us at the entry per frame", {}};
  Slope bytes{"frame_bytes", "tokens", "bytes per frame", {}};
  for (const int tokens : {1, 2, 4, 8, 16}) {
    Frame frame;
    frame.run = "0123456789abcdef0123456789abcdef";
    frame.attempt = 1;
    frame.offset = 250;
    frame.tokens.assign(tokens, " words");
    const std::string line = EncodeFrame(frame);
    encode.points.emplace_back(tokens, MicrosPerCall([&]() { EncodeFrame(frame); }));
    decode.points.emplace_back(tokens, MicrosPerCall([&]() { (void)DecodeFrame(line); }));
    bytes.points.emplace_back(tokens, static_cast<double>(line.size()));
  }
  return {encode, decode, bytes};
}

std::vector<Slope> MeasurePrompts(uint64_t) {
  Slope entry{
      "prompt_entry_us", "prompt tokens", "us at the entry: tokens, chain, run message", {}};
  Slope agent{"prompt_agent_us", "prompt tokens", "us at the agent: run message", {}};
  Slope bytes{"prompt_bytes", "prompt tokens", "body bytes of the run message", {}};
  const Tokenizer tokenizer = FindTokenizer("whitespace");
  for (const int64_t tokens : {500, 1'000, 2'000, 4'000, 8'000}) {
    const std::string text = PromptText(tokens);
    RunRequest request;
    const auto prepare = [&]() {
      request.prompt = tokenizer(text);
      const BlockScope scope{"fleet-team12", "fleet-model3", "", "2026-12-01"};
      if (BlockChain(scope, request.prompt, 2000).size() > request.prompt.size()) {
        throw std::runtime_error("more blocks than tokens");
      }
      return EncodeRunRequest(request);
    };
    const std::string body = prepare();
    entry.points.emplace_back(tokens, MicrosPerCall([&]() { prepare(); }));
    agent.points.emplace_back(tokens, MicrosPerCall([&]() { (void)DecodeRunRequest(body); }));
    bytes.points.emplace_back(tokens, static_cast<double>(body.size()));
  }
  return {entry, agent, bytes};
}

Inventory ParseInventoryText(const std::string& text) {
  Findings findings;
  std::optional<Inventory> inventory = ParseInventory(ParseIni(text, "fleet", findings), findings);
  if (!inventory) throw std::runtime_error(findings.ToString());
  return std::move(*inventory);
}

/// Returns the two-year size scaled to this number of runners.
FleetSize ScaledFleet(int runners) {
  const FleetSize full;
  FleetSize size;
  size.runners = runners;
  size.runner_hosts = runners * full.runner_hosts / full.runners;
  size.entries = std::max(1, runners * full.entries / full.runners);
  size.service_hosts = std::max(1, runners * full.service_hosts / full.runners);
  size.teams = runners * full.teams / full.runners;
  size.stores = std::max(1, runners * full.stores / full.runners);
  return size;
}

std::vector<Slope> MeasureInventories(uint64_t) {
  Slope bytes{"inventory_bytes", "runners (all else in proportion)", "bytes of the text", {}};
  Slope deflated{"inventory_deflated", "runners (all else in proportion)", "bytes, deflated", {}};
  Slope parse{"inventory_parse_us", "runners (all else in proportion)", "us to parse", {}};
  Slope heap{"inventory_heap", "runners (all else in proportion)", "heap bytes when parsed", {}};
  for (const int runners : {75, 150, 300, 450, 600}) {
    const std::string text = FleetInventoryText(ScaledFleet(runners));
    bytes.points.emplace_back(runners, static_cast<double>(text.size()));
    deflated.points.emplace_back(runners, static_cast<double>(Deflate(text).size()));
    parse.points.emplace_back(runners, MicrosPerCall([&]() { ParseInventoryText(text); }));
    const double before = AllocatedHeapBytes();
    const Inventory inventory = ParseInventoryText(text);
    const CandidateTable table(inventory);
    heap.points.emplace_back(runners, AllocatedHeapBytes() - before);
  }
  return {bytes, deflated, parse, heap};
}

std::vector<Slope> MeasureDocuments(uint64_t seed) {
  std::mt19937_64 random(seed);
  Slope bytes{"document_bytes", "audit records", "bytes of the document, full inventory", {}};
  Slope deflated{"document_deflated", "audit records", "bytes, deflated, full inventory", {}};
  ConfigDocument document;
  document.inventory_ini = FleetInventoryText({});
  for (const int records : {32, 64, 128, 256}) {
    while (document.revision < records) {
      AuditRecord record{"operator-17", "2026-12-04T05:00:00Z", "", RandomBlockIdHex(random), 0, 0};
      record.what = absl::StrCat("host fleet-host", random() % 300, " out of service: disk check");
      record.old_revision = document.revision++;
      record.new_revision = document.revision;
      document.audit.push_back(record);
    }
    const std::string text = EncodeConfigDocument(document);
    bytes.points.emplace_back(records, static_cast<double>(text.size()));
    deflated.points.emplace_back(records, static_cast<double>(Deflate(text).size()));
  }
  return {bytes, deflated};
}

std::vector<Slope> MeasureRouting(uint64_t seed) {
  std::mt19937_64 random(seed);
  Slope decision{"routing_us", "runners of one model", "us per decision", {}};
  for (const int runners : {75, 150, 300, 600}) {
    FleetSize size = ScaledFleet(runners);
    size.models = 1;
    const CandidateTable table(ParseInventoryText(FleetInventoryText(size)));
    HotPrefixDetector hot_prefixes({});
    TimePoint now{};
    decision.points.emplace_back(
        runners, MicrosPerCall([&]() {
          CandidateQuery query{"fleet-team12", "fleet-model0", RandomBlockIdHex(random), 3, {}};
          now += kRequestInterval;
          const double rate = hot_prefixes.Record(query.prefix_block, now);
          const auto candidates = table.Choose(query);
          std::vector<Bid> bids;
          bids.reserve(candidates.size());
          for (const CandidateRunner* runner : candidates) {
            bids.push_back({runner->name,
                            Micros(static_cast<int64_t>(random() % kMaxEstimateMicros)), 0, 0, 3});
          }
          (void)ChooseBid(bids, candidates.front()->name, hot_prefixes.IsHot(rate), {}, random());
        }));
  }
  return {decision};
}

std::vector<Slope> MeasureBlocks(uint64_t seed) {
  constexpr int64_t kBlockBytes = 64;
  Slope heap{"block_heap", "blocks held", "heap bytes without the blocks' content", {}};
  Slope evict{"block_evict_us", "blocks held", "us to add a block to a full arena", {}};
  // Each number of blocks is twice the one before, so that the hash tables have equal load factors.
  for (const int blocks : {500, 1'000, 2'000, 4'000}) {
    std::mt19937_64 random(seed);
    const double before = AllocatedHeapBytes();
    auto arena = std::make_unique<BlockArena>(blocks * kBlockBytes);
    auto policy = std::make_unique<RetentionPolicy>(RetentionOptions{blocks * kBlockBytes});
    TimePoint now{};
    const auto eviction_value = [&](const BlockId& id) {
      return policy->EvictionValue(id, "fleet-team1", now);
    };
    const std::string content(kBlockBytes, 'k');
    const auto add = [&]() {
      const BlockId id{random(), random()};
      // A single team, because the blocks of a team within its fair share are not evicted.
      const std::string team = "fleet-team1";
      now += kBlockInterval;
      policy->Observe(team, "notes", {id}, now);
      const std::optional<BlockHandle> handle =
          arena->Reserve(id, kBlockBytes, 1e9, eviction_value);
      if (!handle) throw std::runtime_error("the arena has no slot for a block");
      arena->Write(*handle, content);
      arena->Seal(*handle);
      policy->OnStored(id, {team, kBlockBytes, Millis(200), {}});
      for (const BlockId& removed : arena->TakeRemoved()) policy->OnDropped(removed);
    };
    for (int i = 0; i < blocks; ++i) add();
    heap.points.emplace_back(blocks, AllocatedHeapBytes() - before - blocks * kBlockBytes);
    evict.points.emplace_back(blocks, MicrosPerCall(add));
  }
  Slope tracked{"tracked_heap", "blocks whose last use is tracked", "heap bytes", {}};
  for (const int blocks : {5'000, 10'000, 20'000, 40'000}) {
    std::mt19937_64 random(seed);
    const double before = AllocatedHeapBytes();
    RetentionPolicy policy(RetentionOptions{});
    TimePoint now{};
    for (int i = 0; i < blocks; ++i) {
      now += kBlockInterval;
      policy.Observe(absl::StrCat("fleet-team", i % FleetSize{}.teams), "notes",
                     {{random(), random()}}, now);
    }
    tracked.points.emplace_back(blocks, AllocatedHeapBytes() - before);
  }
  return {heap, evict, tracked};
}

std::vector<Slope> MeasureClaims(uint64_t seed) {
  std::mt19937_64 random(seed);
  Slope update{"claim_us", "claims in the shard", "us per update: decode and encode", {}};
  Slope bytes{
      "claim_bytes", "claims in the shard", "bytes of the object, answers of 200 bytes", {}};
  for (const int claims : {25, 50, 100, 200}) {
    ClaimShard shard;
    for (int i = 0; i < claims; ++i) {
      Claim claim{
          RandomBlockIdHex(random), RandomBlockIdHex(random).substr(16), 1'764'825'132'000, {}};
      claim.outcome.emplace();
      claim.outcome->status = 200;
      claim.outcome->body = std::string(200, 'a');
      shard.claims[RandomBlockIdHex(random)] = claim;
    }
    const std::string text = EncodeClaimShard(shard);
    bytes.points.emplace_back(claims, static_cast<double>(text.size()));
    update.points.emplace_back(
        claims, MicrosPerCall([&]() { EncodeClaimShard(DecodeClaimShard(text).value()); }));
  }
  return {update, bytes};
}

std::vector<Slope> MeasureProofs(uint64_t) {
  Slope sign_and_verify{"proof_us", "body bytes", "us to sign and to verify one message", {}};
  const PeerKey key{"k1", std::string(32, 's')};
  for (const int bytes : {1'000, 10'000, 50'000, 100'000, 200'000}) {
    const PeerMessage message{"POST", "/internal/v1/runs", std::string(bytes, 'b'), "fleet-entry1"};
    sign_and_verify.points.emplace_back(
        bytes, MicrosPerCall([&]() {
          const std::string proof = SignPeerMessage(key, message, 1'000);
          if (!VerifyPeerMessage({key}, message, proof, 1'000)) {
            throw std::runtime_error("the proof of a message was rejected");
          }
        }));
  }
  return {sign_and_verify};
}

}  // namespace

std::vector<Experiment> CoreExperiments() {
  constexpr char kSetup[] = "in process";
  return {{"bids", kSetup, &MeasureBids},           {"frames", kSetup, &MeasureFrames},
          {"prompts", kSetup, &MeasurePrompts},     {"inventories", kSetup, &MeasureInventories},
          {"documents", kSetup, &MeasureDocuments}, {"routing", kSetup, &MeasureRouting},
          {"blocks", kSetup, &MeasureBlocks},       {"claims", kSetup, &MeasureClaims},
          {"proofs", kSetup, &MeasureProofs}};
}

}  // namespace fuchsiaweir::capacity
