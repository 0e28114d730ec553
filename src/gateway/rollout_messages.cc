#include "gateway/rollout_messages.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <tuple>
#include <utility>
#include <vector>

#include "platform/field_access.h"

namespace fuchsiaweir {
namespace {

namespace json = boost::json;

/// Longer than any rollout; sums of durations must not overflow.
constexpr platform::IntegerRange kElapsedMs = {0, 86'400'000};
/// Bytes of the counts in a message, which has to fit into one Ethernet frame with its other
/// fields.
constexpr size_t kMaxCountsBytes = 900;
/// Bytes of a route's six counts and their separators, for numbers below ten million.
constexpr size_t kCountsBytes = 54;
constexpr size_t kCountsInRow = 6;

int64_t IntegerIn(const json::value& value, platform::IntegerRange range) {
  const std::optional<int64_t> number = platform::ToInteger(value, range);
  if (!number) throw std::invalid_argument("not an integer in range");
  return *number;
}

std::string TextAt(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

RolloutStep StepAt(const json::object& object) {
  const std::optional<RolloutStep> step = ValueIn(kRolloutStepNames, TextAt(object, "step"));
  if (!step) throw std::invalid_argument("unknown step");
  return *step;
}

Duration ElapsedAt(const json::object& object) {
  return Millis(IntegerIn(object.at("elapsed_ms"), kElapsedMs));
}

void AppendCounts(const VersionCounts& counts, json::array& row) {
  row.emplace_back(counts.answers);
  row.emplace_back(counts.failures);
  row.emplace_back(counts.slow);
}

VersionCounts CountsAt(const json::array& row, size_t index) {
  return {IntegerIn(row.at(index), platform::kCounts),
          IntegerIn(row.at(index + 1), platform::kCounts),
          IntegerIn(row.at(index + 2), platform::kCounts)};
}

std::string StepName(RolloutStep step) { return std::string(NameIn(kRolloutStepNames, step)); }

}  // namespace

json::object EncodeMessage(const RolloutEvidenceMessage& message) {
  json::array routes;
  for (const auto& [route, counts] : message.report.counts) {
    json::array row{route};
    AppendCounts(counts.present, row);
    AppendCounts(counts.target, row);
    routes.push_back(std::move(row));
  }
  return {{"type", "rollout_evidence"},
          {"sender", message.report.sender},
          {"start", message.report.start},
          {"service", message.service},
          {"target", message.target},
          {"elapsed_ms", ToMillis(message.report.elapsed)},
          {"step", StepName(message.report.step)},
          {"says_bad", message.report.says_bad},
          {"present_requests", message.report.present_requests},
          {"routes", std::move(routes)}};
}

json::object EncodeMessage(const RolloutStepMessage& message) {
  return {{"type", "rollout_step"},
          {"sender", message.sender},
          {"service", message.service},
          {"target", message.target},
          {"elapsed_ms", ToMillis(message.elapsed)},
          {"step", StepName(message.step)}};
}

RolloutEvidenceMessage DecodeRolloutEvidence(const json::object& object) {
  RolloutEvidenceMessage message;
  message.report.sender = TextAt(object, "sender");
  message.report.start = IntegerIn(object.at("start"), platform::kExactIntegers);
  message.service = TextAt(object, "service");
  message.target = TextAt(object, "target");
  message.report.elapsed = ElapsedAt(object);
  message.report.step = StepAt(object);
  message.report.says_bad = object.at("says_bad").as_bool();
  message.report.present_requests = IntegerIn(object.at("present_requests"), platform::kCounts);
  for (const json::value& item : object.at("routes").as_array()) {
    const json::array& row = item.as_array();
    message.report.counts[std::string(row.at(0).as_string())] = {
        CountsAt(row, 1), CountsAt(row, 1 + kCountsInRow / 2)};
  }
  return message;
}

RolloutStepMessage DecodeRolloutStep(const json::object& object) {
  return {TextAt(object, "sender"), TextAt(object, "service"), TextAt(object, "target"),
          ElapsedAt(object), StepAt(object)};
}

CountsByRoute CountsSelection::Take(const CountsByRoute& counts) {
  struct Change {
    int64_t bad = 0;     // Of the target.
    int64_t target = 0;  // Answers.
    int64_t all = 0;
    const std::string* route = nullptr;
  };
  std::vector<Change> changes;
  for (const auto& [route, now] : counts) {
    const RouteCounts& before = sent_[route];
    const int64_t target = now.target.answers - before.target.answers;
    const int64_t present = now.present.answers - before.present.answers;
    if (target + present == 0) continue;
    changes.push_back({now.target.bad() - before.target.bad(), target, target + present, &route});
  }
  std::sort(changes.begin(), changes.end(), [](const Change& a, const Change& b) {
    return std::tie(a.bad, a.target, a.all) > std::tie(b.bad, b.target, b.all);
  });
  CountsByRoute taken;
  size_t bytes = 0;
  for (const Change& change : changes) {
    bytes += change.route->size() + kCountsBytes;
    if (bytes > kMaxCountsBytes && !taken.empty()) break;
    taken[*change.route] = sent_[*change.route] = counts.at(*change.route);
  }
  return taken;
}

}  // namespace fuchsiaweir
