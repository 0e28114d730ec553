#include "soak/store_writes.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "platform/names.h"

namespace fuchsiaweir::soak {
namespace {

/// Writes are repeated for longer than a fault of the store lasts.
constexpr int kWriteAttempts = 50;
constexpr Duration kWriteInterval = Millis(100);
constexpr char kDraining[] = "draining";

std::string KeyOf(size_t state) { return absl::StrCat("state-key-", state); }

}  // namespace

StoreWrites::StoreWrites(testing::Fleet& fleet, int runners, NoteDisturbance note)
    : fleet_(fleet), note_(std::move(note)) {
  for (int i = 0; i < runners; ++i) entries_[absl::StrCat("runner", i)] = {"ready", 1'000};
}

void StoreWrites::PutDesiredState(int further_routes) {
  calls_.Add([this, further_routes]() {
    std::vector<std::string> keys{"key-1", "key-2"};
    const TimePoint sent = SteadyNow();
    size_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      states_.push_back({further_routes, sent, TimePoint::max()});
      number = states_.size();
    }
    for (size_t i = 1; i <= number; ++i) keys.push_back(KeyOf(i));
    const bool confirmed = fleet_.PutDesiredState(keys, further_routes);
    const TimePoint end = SteadyNow();
    note_({"store", Cause::kDesiredState, sent, end});
    const std::lock_guard lock(mutex_);
    if (confirmed) states_.back().confirmed = end;
  });
}

void StoreWrites::NameWeights() {
  calls_.Add([this]() {
    ++weights_;
    PutWeights();
  });
}

void StoreWrites::SetEvacuated(bool evacuated) {
  calls_.Add([this, evacuated]() {
    evacuated_ = evacuated;
    Repeat([this]() { return PutEvacuation(); });
  });
}

void StoreWrites::ListRunner(const std::string& runner, const std::string& state,
                             int64_t started_ms) {
  calls_.Add([this, runner, state, started_ms]() {
    const TimePoint sent = SteadyNow();
    if (state != kDraining) EndDrain(runner);
    entries_[runner] = {state, started_ms};
    bool confirmed = false;
    Repeat([&]() { return confirmed = PutEntry(runner); });
    if (!confirmed || state != kDraining) return;
    const std::lock_guard lock(mutex_);
    for (const DrainRecord& drain : drains_) {
      if (drain.runner == runner && drain.end == TimePoint::max()) return;
    }
    drains_.push_back({runner, sent, SteadyNow(), TimePoint::max()});
  });
}

void StoreWrites::DeleteRunner(const std::string& runner) {
  calls_.Add([this, runner]() {
    entries_[runner].state.clear();
    PutEntry(runner);
  });
}

void StoreWrites::OnRunnerStart(const std::string& runner) { EndDrain(runner); }

void StoreWrites::WriteAgain() {
  calls_.Add([this]() {
    Repeat([this]() { return fleet_.PutDesiredStateAgain(); });
    for (const auto& [runner, entry] : entries_) {
      Repeat([this, &runner]() { return PutEntry(runner); });
    }
    Repeat([this]() { return PutEvacuation(); });
    if (weights_ > 1) Repeat([this]() { return PutWeights(); });
  });
}

std::optional<Additions> StoreWrites::NewestAdditions(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  for (size_t number = states_.size(); number > 0; --number) {
    const StateRecord& state = states_[number - 1];
    if (state.confirmed > now - kConfigBound) continue;
    return Additions{static_cast<int64_t>(number), KeyOf(number), state.further_routes};
  }
  return std::nullopt;
}

std::vector<StateRecord> StoreWrites::states() const {
  const std::lock_guard lock(mutex_);
  return states_;
}

std::vector<DrainRecord> StoreWrites::drains() const {
  const std::lock_guard lock(mutex_);
  return drains_;
}

void StoreWrites::Repeat(const std::function<bool()>& write) {
  for (int i = 0; i < kWriteAttempts && !write(); ++i) std::this_thread::sleep_for(kWriteInterval);
}

bool StoreWrites::PutEvacuation() {
  return evacuated_ ? fleet_.Put(platform::kEvacuationKind, "east", boost::json::object{})
                    : fleet_.Delete(platform::kEvacuationKind, "east");
}

bool StoreWrites::PutWeights() {
  return fleet_.Put(platform::kVersionKind, "model",
                    boost::json::object{{"model", "model"}, {"version", weights_}});
}

bool StoreWrites::PutEntry(const std::string& runner) {
  const Entry& entry = entries_.at(runner);
  if (entry.state.empty()) return fleet_.Delete(platform::kRunnerKind, runner);
  const int number = std::stoi(runner.substr(std::string("runner").size()));
  return fleet_.ListRunner(number, entry.state, 0, entry.started_ms);
}

void StoreWrites::EndDrain(const std::string& runner) {
  const std::lock_guard lock(mutex_);
  for (DrainRecord& drain : drains_) {
    if (drain.runner == runner && drain.end == TimePoint::max()) drain.end = SteadyNow();
  }
}

}  // namespace fuchsiaweir::soak
