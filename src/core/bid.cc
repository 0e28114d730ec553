#include "core/bid.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "core/json_fields.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;
// One day. Longer estimates are useless and could overflow the conversion to microseconds.
constexpr double kMaxEstimateSeconds = 86'400;

constexpr std::pair<const char*, int64_t BidRequest::*> kRequestNumbers[] = {
    {"prompt_tokens", &BidRequest::prompt_tokens},
    {"max_tokens", &BidRequest::max_tokens},
    {"priority", &BidRequest::priority},
    {"deadline_ms", &BidRequest::deadline_ms},
};

constexpr std::pair<const char*, int64_t Bid::*> kBidNumbers[] = {
    {"resident", &Bid::resident},
    {"fetchable", &Bid::fetchable},
    {"queue", &Bid::queue},
};

double SecondsFor(int64_t amount, int64_t per_second) {
  return static_cast<double>(std::max<int64_t>(0, amount)) /
         static_cast<double>(std::max<int64_t>(1, per_second));
}

Duration FromSeconds(double seconds) {
  return Duration(std::llround(std::min(seconds, kMaxEstimateSeconds) * 1e6));
}

// Returns the seconds until the gate and the engine's batch have a free slot for one more run.
double SlotWaitSeconds(const RunnerLoad& load) {
  const int64_t slots = std::max<int64_t>(1, std::min(load.limit, load.decode_slots));
  const int64_t excess = load.running + load.queue_items + 1 - slots;
  if (excess <= 0) return 0;
  return ToSeconds(load.mean_run) * static_cast<double>(excess) / static_cast<double>(slots);
}

Error Refuse(ErrorCode code, const std::string& message, Duration retry_after = Duration(0)) {
  return Error{code, RunState::kNotRun, message, retry_after};
}

json::value ParseBody(std::string_view body) {
  return json::parse(json::string_view(body.data(), body.size()));
}

std::string RequiredString(const json::object& object, const char* name) {
  return std::string(object.at(name).as_string());
}

Bid DecodeBid(const json::object& object) {
  Bid bid;
  bid.runner = RequiredString(object, "runner");
  const double millis = object.at("estimate_ms").to_number<double>();
  bid.estimate = FromSeconds(std::max(0.0, millis / kMillisPerSecond));
  for (const auto& [name, member] : kBidNumbers) {
    bid.*member = std::max<int64_t>(0, object.at(name).to_number<int64_t>());
  }
  return bid;
}

Error DecodeRefusal(const json::object& object) {
  const auto code = ErrorCodeFromName(RequiredString(object, "code"));
  const auto millis = object.at("retry_after_ms").to_number<int64_t>();
  const double seconds = std::max(0.0, static_cast<double>(millis) / kMillisPerSecond);
  return Refuse(code.value_or(ErrorCode::kInternal), RequiredString(object, "message"),
                FromSeconds(seconds));
}

json::object EncodeBid(const Bid& bid) {
  json::object object{{"runner", bid.runner},
                      {"estimate_ms", static_cast<double>(bid.estimate.count()) / kMicrosPerMilli}};
  for (const auto& [name, member] : kBidNumbers) object[name] = bid.*member;
  return object;
}

}  // namespace

Result<Bid> MakeBid(const BidRequest& request, const RunnerLoad& load) {
  if (!load.in_service) {
    return Refuse(ErrorCode::kOutOfService,
                  absl::StrCat("runner ", load.runner, " is out of service"));
  }
  if (load.model != request.model) {
    return Refuse(ErrorCode::kUnknownModel, absl::StrCat("runner ", load.runner, " serves model ",
                                                         load.model, ", not ", request.model));
  }
  const double backlog = SecondsFor(load.queue_tokens, load.prefill_tokens_per_second);
  const double wait = std::max(backlog, SlotWaitSeconds(load));
  if (load.queue_items >= load.max_queue) {
    return Refuse(
        ErrorCode::kOverloaded,
        absl::StrCat("runner ", load.runner, " has ", load.queue_items, " requests in its queue"),
        FromSeconds(wait));
  }
  const int64_t computed = request.prompt_tokens - load.resident_blocks * load.block_tokens;
  const double recompute = wait + SecondsFor(computed, load.prefill_tokens_per_second);
  // The fetch proceeds while the request is queued.
  const int64_t fetch_bytes = load.link_queue_bytes + load.fetchable_blocks * load.block_bytes;
  const double fetch_time = SecondsFor(fetch_bytes, load.link_bytes_per_second);
  const int64_t remaining = computed - load.fetchable_blocks * load.block_tokens;
  const double fetch =
      std::max(wait, fetch_time) + SecondsFor(remaining, load.prefill_tokens_per_second);
  const bool fetch_is_faster = load.fetchable_blocks > 0 && fetch < recompute;

  Bid bid{load.runner, FromSeconds(fetch_is_faster ? fetch : recompute), load.resident_blocks,
          fetch_is_faster ? load.fetchable_blocks : 0, load.queue_items};
  if (ToMillis(bid.estimate) > request.deadline_ms) {
    const bool limited_by_gate = load.limit < load.decode_slots && SlotWaitSeconds(load) > backlog;
    return Refuse(
        limited_by_gate ? ErrorCode::kCold : ErrorCode::kOverloaded,
        absl::StrCat("runner ", load.runner, " expects the first token in ", ToMillis(bid.estimate),
                     " ms, after the deadline in ", request.deadline_ms, " ms"),
        FromSeconds(wait));
  }
  return bid;
}

std::string EncodeBidRequest(const BidRequest& request) {
  json::object object{{"team", request.team},
                      {"model", request.model},
                      {"blocks", json::array(request.blocks.begin(), request.blocks.end())}};
  for (const auto& [name, member] : kRequestNumbers) object[name] = request.*member;
  return json::serialize(object);
}

Result<BidRequest> DecodeBidRequest(std::string_view body) {
  try {
    const json::value value = ParseBody(body);
    const json::object& object = value.as_object();
    BidRequest request;
    request.team = RequiredString(object, "team");
    request.model = RequiredString(object, "model");
    for (const json::value& block : object.at("blocks").as_array()) {
      request.blocks.emplace_back(block.as_string());
    }
    for (const auto& [name, member] : kRequestNumbers) {
      request.*member = object.at(name).to_number<int64_t>();
    }
    return request;
  } catch (const std::exception& e) {
    return Refuse(ErrorCode::kBadRequest,
                  std::string("malformed bid request: ") + DecodeErrorMessage(e));
  }
}

std::string EncodeBidResponse(const Result<std::vector<Bid>>& answer) {
  if (answer.has_error()) {
    const Error& error = answer.error();
    return json::serialize(
        json::object{{"error", json::object{{"code", std::string(Name(error.code))},
                                            {"message", error.message},
                                            {"run_state", std::string(Name(RunState::kNotRun))},
                                            {"retry_after_ms", ToMillis(error.retry_after)}}}});
  }
  json::array bids;
  for (const Bid& bid : answer.value()) bids.push_back(EncodeBid(bid));
  return json::serialize(json::object{{"bids", std::move(bids)}});
}

Result<std::vector<Bid>> DecodeBidResponse(std::string_view body) {
  try {
    const json::value value = ParseBody(body);
    const json::object& object = value.as_object();
    if (const json::value* error = object.if_contains("error")) {
      return DecodeRefusal(error->as_object());
    }
    std::vector<Bid> bids;
    for (const json::value& bid : object.at("bids").as_array()) {
      bids.push_back(DecodeBid(bid.as_object()));
    }
    return bids;
  } catch (const std::exception& e) {
    return Refuse(ErrorCode::kIncompleteAnswer,
                  std::string("malformed bid response: ") + DecodeErrorMessage(e));
  }
}

}  // namespace fuchsiaweir
