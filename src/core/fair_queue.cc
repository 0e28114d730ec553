#include "core/fair_queue.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace fuchsiaweir {
namespace {

// About four retained KV blocks, or 1 s of prefill on a runner with 8,000 tokens/s.
constexpr int64_t kMaxShortPrefillTokens = 8000;

// Weight factors. Each priority has four times the weight of the next lower one, so that background
// requests are not starved.
constexpr std::array<double, 3> kPriorityFactor = {1, 4, 16};

int64_t ClampedPriority(int64_t priority) {
  return std::clamp<int64_t>(priority, 0, kPriorityFactor.size() - 1);
}

double FlowWeight(const QueuedRequest& request) {
  return static_cast<double>(std::max<int64_t>(1, request.weight)) *
         kPriorityFactor.at(static_cast<size_t>(ClampedPriority(request.priority)));
}

Error Refusal(const std::string& message, Duration retry_after) {
  return Error{ErrorCode::kOverloaded, RunState::kNotRun, message, retry_after};
}

}  // namespace

bool FairQueue::IsLong(int64_t tokens) { return tokens > kMaxShortPrefillTokens; }

FairQueue::FlowKey FairQueue::KeyOf(const QueuedRequest& request) {
  return {request.team, ClampedPriority(request.priority), IsLong(request.tokens)};
}

Duration FairQueue::PrefillTime(double tokens) const {
  const double seconds =
      tokens / static_cast<double>(std::max<int64_t>(1, limits_.tokens_per_second));
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

FairQueue::Backlog FairQueue::BacklogBefore(const QueuedRequest& request) const {
  const FlowKey key = KeyOf(request);
  const double weight = FlowWeight(request);
  Backlog own;
  double total_weight = weight;
  for (const auto& [flow_key, flow] : flows_) {
    if (flow_key != key) {
      if (!flow.items.empty()) total_weight += flow.weight;
      continue;
    }
    for (const auto& [deadline, item] : flow.items) {
      if (deadline > request.deadline) break;
      own.items += 1;
      own.tokens += static_cast<double>(item.tokens);
    }
  }
  // A flow gets at least its share of the runner, and waits for no more than the whole queue.
  const double share = total_weight / weight;
  const double tokens = static_cast<double>(request.tokens);
  return {std::min((own.items + 1) * share - 1, static_cast<double>(size_)),
          std::min((own.tokens + tokens) * share - tokens, static_cast<double>(tokens_))};
}

Duration FairQueue::EstimatedTime(const QueuedRequest& request) const {
  return PrefillTime(BacklogBefore(request).tokens + static_cast<double>(request.tokens));
}

int64_t FairQueue::ItemsAhead(const QueuedRequest& request) const {
  return static_cast<int64_t>(std::ceil(BacklogBefore(request).items));
}

std::optional<Error> FairQueue::Push(QueuedRequest request, TimePoint now) {
  request.tokens = std::max<int64_t>(1, request.tokens);
  RefuseLate(now);
  const Duration needed = EstimatedTime(request);
  if (now + needed > request.deadline) {
    return Refusal(
        absl::StrCat("the first token is expected in ", ToMillis(needed),
                     " ms, after the deadline in ", ToMillis(request.deadline - now), " ms"),
        PrefillTime(static_cast<double>(tokens_)));
  }
  if (size_ >= limits_.max_items && !DisplaceFor(request)) {
    return Refusal(absl::StrCat("the queue holds its maximum of ", limits_.max_items, " requests"),
                   PrefillTime(static_cast<double>(tokens_)));
  }
  Flow& flow = flows_[KeyOf(request)];
  // A flow gains no credit while it is idle.
  if (flow.items.empty()) flow.start = std::max(flow.start, virtual_time_);
  flow.weight = FlowWeight(request);
  flow.tokens += request.tokens;
  ++size_;
  tokens_ += request.tokens;
  const TimePoint deadline = request.deadline;
  flow.items.emplace(deadline, std::move(request));
  return std::nullopt;
}

bool FairQueue::DisplaceFor(const QueuedRequest& request) {
  struct TeamUsage {
    double items = 0;
    double weight = 1;
  };
  std::map<std::string, TeamUsage> teams;
  teams[request.team].weight = static_cast<double>(std::max<int64_t>(1, request.weight));
  for (const auto& [key, flow] : flows_) {
    if (flow.items.empty()) continue;
    TeamUsage& team = teams[std::get<0>(key)];
    team.items += static_cast<double>(flow.items.size());
    team.weight = static_cast<double>(std::max<int64_t>(1, flow.items.begin()->second.weight));
  }
  const auto usage = [&teams](const std::string& team) {
    return teams[team].items / teams[team].weight;
  };
  const TeamUsage& own = teams[request.team];
  Flow* victim = nullptr;
  double max_usage = (own.items + 1) / own.weight;
  for (auto& [key, flow] : flows_) {
    if (flow.items.empty() || std::get<0>(key) == request.team) continue;
    // The map orders a team's flows by priority, so the strict comparison chooses its lowest one.
    if (usage(std::get<0>(key)) <= max_usage) continue;
    max_usage = usage(std::get<0>(key));
    victim = &flow;
  }
  if (victim == nullptr) return false;
  refused_.push_back(Extract(*victim, std::prev(victim->items.end())));
  return true;
}

QueuedRequest FairQueue::Extract(Flow& flow,
                                 std::multimap<TimePoint, QueuedRequest>::iterator item) {
  QueuedRequest request = std::move(item->second);
  flow.items.erase(item);
  flow.tokens -= request.tokens;
  tokens_ -= request.tokens;
  --size_;
  return request;
}

void FairQueue::RefuseLate(TimePoint now) {
  for (auto& [key, flow] : flows_) {
    for (auto item = flow.items.begin(); item != flow.items.end();) {
      const auto next = std::next(item);
      const QueuedRequest& request = item->second;
      if (now + PrefillTime(static_cast<double>(request.tokens)) > request.deadline) {
        refused_.push_back(Extract(flow, item));
      }
      item = next;
    }
  }
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now, bool allow_long) {
  RefuseLate(now);
  Flow* first = nullptr;
  for (auto& [key, flow] : flows_) {
    if (flow.items.empty() || (std::get<2>(key) && !allow_long)) continue;
    if (first == nullptr || flow.start < first->start) first = &flow;
  }
  if (first == nullptr) return std::nullopt;
  virtual_time_ = std::max(virtual_time_, first->start);
  QueuedRequest request = Extract(*first, first->items.begin());
  first->start += static_cast<double>(request.tokens) / first->weight;
  RemoveIdleFlows();
  return request;
}

void FairQueue::RemoveIdleFlows() {
  // An empty flow that starts in the past would restart at the current virtual time anyway.
  std::erase_if(flows_, [this](const auto& entry) {
    return entry.second.items.empty() && entry.second.start <= virtual_time_;
  });
}

std::vector<QueuedRequest> FairQueue::TakeRefused(TimePoint now) {
  RefuseLate(now);
  return std::exchange(refused_, {});
}

bool FairQueue::Remove(const std::string& id) {
  for (auto& [key, flow] : flows_) {
    const auto item = std::find_if(flow.items.begin(), flow.items.end(),
                                   [&id](const auto& entry) { return entry.second.id == id; });
    if (item == flow.items.end()) continue;
    Extract(flow, item);
    return true;
  }
  return false;
}

}  // namespace fuchsiaweir
