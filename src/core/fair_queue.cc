#include "core/fair_queue.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace fuchsiaweir {
namespace {

// About four retained blocks, one second of prefill on a runner of 8,000 tokens/s.
constexpr int64_t kLongTokens = 8000;

// Share of each priority against the next lower one is 4:1, so that background work keeps moving.
constexpr std::array<double, 3> kPriorityFactor = {1, 4, 16};

int64_t ClampedPriority(int64_t priority) {
  return std::clamp<int64_t>(priority, 0, kPriorityFactor.size() - 1);
}

double FlowWeight(const QueuedRequest& work) {
  return static_cast<double>(std::max<int64_t>(1, work.weight)) *
         kPriorityFactor.at(static_cast<size_t>(ClampedPriority(work.priority)));
}

Error Refusal(const std::string& message, Duration retry_after) {
  return Error{ErrorCode::kOverloaded, RunState::kNotRun, message, retry_after};
}

}  // namespace

bool FairQueue::IsLong(int64_t tokens) { return tokens > kLongTokens; }

FairQueue::FlowKey FairQueue::KeyOf(const QueuedRequest& work) {
  return {work.team, ClampedPriority(work.priority), IsLong(work.tokens)};
}

Duration FairQueue::PrefillTime(double tokens) const {
  const double seconds =
      tokens / static_cast<double>(std::max<int64_t>(1, limits_.tokens_per_second));
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

FairQueue::Ahead FairQueue::AheadOf(const QueuedRequest& work) const {
  const FlowKey key = KeyOf(work);
  const double weight = FlowWeight(work);
  Ahead own;
  double total_weight = weight;
  for (const auto& [flow_key, flow] : flows_) {
    if (flow_key != key) {
      if (!flow.items.empty()) total_weight += flow.weight;
      continue;
    }
    for (const auto& [deadline, item] : flow.items) {
      if (deadline > work.deadline) break;
      own.items += 1;
      own.tokens += static_cast<double>(item.tokens);
    }
  }
  // A flow gets at least its share of the runner, and never waits for more than what is queued.
  const double share = total_weight / weight;
  const double tokens = static_cast<double>(work.tokens);
  return {std::min((own.items + 1) * share - 1, static_cast<double>(size_)),
          std::min((own.tokens + tokens) * share - tokens, static_cast<double>(tokens_))};
}

Duration FairQueue::EstimatedTime(const QueuedRequest& work) const {
  return PrefillTime(AheadOf(work).tokens + static_cast<double>(work.tokens));
}

int64_t FairQueue::ItemsAhead(const QueuedRequest& work) const {
  return static_cast<int64_t>(std::ceil(AheadOf(work).items));
}

std::optional<Error> FairQueue::Push(QueuedRequest work, TimePoint now) {
  work.tokens = std::max<int64_t>(1, work.tokens);
  MoveLate(now);
  const Duration needed = EstimatedTime(work);
  if (now + needed > work.deadline) {
    return Refusal(absl::StrCat("the first token is expected in ", ToMillis(needed),
                                " ms, after the deadline"),
                   PrefillTime(static_cast<double>(tokens_)));
  }
  if (size_ >= limits_.max_items && !DisplaceFor(work)) {
    return Refusal(absl::StrCat("the queue holds its maximum of ", limits_.max_items, " requests"),
                   PrefillTime(static_cast<double>(tokens_)));
  }
  Flow& flow = flows_[KeyOf(work)];
  // An idle flow keeps no credit from the time in which it queued nothing.
  if (flow.items.empty()) flow.start = std::max(flow.start, virtual_time_);
  flow.weight = FlowWeight(work);
  flow.tokens += work.tokens;
  ++size_;
  tokens_ += work.tokens;
  const TimePoint deadline = work.deadline;
  flow.items.emplace(deadline, std::move(work));
  return std::nullopt;
}

bool FairQueue::DisplaceFor(const QueuedRequest& work) {
  struct Held {
    double items = 0;
    double weight = 1;
  };
  std::map<std::string, Held> held;
  held[work.team].weight = static_cast<double>(std::max<int64_t>(1, work.weight));
  for (const auto& [key, flow] : flows_) {
    if (flow.items.empty()) continue;
    Held& team = held[std::get<0>(key)];
    team.items += static_cast<double>(flow.items.size());
    team.weight = static_cast<double>(std::max<int64_t>(1, flow.items.begin()->second.weight));
  }
  const auto usage = [&held](const std::string& team) {
    return held[team].items / held[team].weight;
  };
  const Held& own = held[work.team];
  Flow* victim = nullptr;
  double worst = (own.items + 1) / own.weight;
  for (auto& [key, flow] : flows_) {
    if (flow.items.empty() || std::get<0>(key) == work.team) continue;
    // Strictly more, and the lowest priority of that team first: the map orders by priority.
    if (usage(std::get<0>(key)) <= worst) continue;
    worst = usage(std::get<0>(key));
    victim = &flow;
  }
  if (victim == nullptr) return false;
  refused_.push_back(Extract(*victim, std::prev(victim->items.end())));
  return true;
}

QueuedRequest FairQueue::Extract(Flow& flow,
                                 std::multimap<TimePoint, QueuedRequest>::iterator item) {
  QueuedRequest work = std::move(item->second);
  flow.items.erase(item);
  flow.tokens -= work.tokens;
  tokens_ -= work.tokens;
  --size_;
  return work;
}

void FairQueue::MoveLate(TimePoint now) {
  for (auto& [key, flow] : flows_) {
    for (auto item = flow.items.begin(); item != flow.items.end();) {
      const auto next = std::next(item);
      const QueuedRequest& work = item->second;
      if (now + PrefillTime(static_cast<double>(work.tokens)) > work.deadline) {
        refused_.push_back(Extract(flow, item));
      }
      item = next;
    }
  }
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now, bool allow_long) {
  MoveLate(now);
  Flow* first = nullptr;
  for (auto& [key, flow] : flows_) {
    if (flow.items.empty() || (std::get<2>(key) && !allow_long)) continue;
    if (first == nullptr || flow.start < first->start) first = &flow;
  }
  if (first == nullptr) return std::nullopt;
  virtual_time_ = std::max(virtual_time_, first->start);
  QueuedRequest work = Extract(*first, first->items.begin());
  first->start += static_cast<double>(work.tokens) / first->weight;
  DropIdleFlows();
  return work;
}

void FairQueue::DropIdleFlows() {
  // A flow whose start is in the past restarts at the virtual time anyway, so it need not be kept.
  std::erase_if(flows_, [this](const auto& entry) {
    return entry.second.items.empty() && entry.second.start <= virtual_time_;
  });
}

std::vector<QueuedRequest> FairQueue::TakeRefused(TimePoint now) {
  MoveLate(now);
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
