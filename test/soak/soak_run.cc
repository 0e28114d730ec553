#include "soak/soak_run.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace fuchsiaweir::soak {
namespace {

constexpr Duration kTick = Millis(2);
constexpr Duration kCallTimeout = Seconds(2);
constexpr Duration kProbeTimeout = Millis(300);
constexpr Duration kProbeInterval = Millis(100);
constexpr int64_t kBodyLimit = 1'000'000;
constexpr int64_t kReadTimeoutMs = 3'000;
constexpr int64_t kThrottlePeriodMs = 100;
constexpr int64_t kThrottleRunMs = 13;
constexpr Duration kSettingsCutFor = Millis(300);
constexpr Duration kDrainBeforeLeave = Millis(2'500);
constexpr Duration kMemoryInterval = Millis(500);
constexpr int kReloadsInSeries = 4;
constexpr size_t kLogTail = 6;

int Number(const std::string& name) {
  return std::stoi(name.substr(name.find_first_of("0123456789")));
}

int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the last lines of a log, indented.
std::string LogTail(const std::string& log) {
  const std::vector<std::string> lines = absl::StrSplit(log, '\n', absl::SkipEmpty());
  std::string text;
  for (size_t i = lines.size() - std::min(lines.size(), kLogTail); i < lines.size(); ++i) {
    absl::StrAppend(&text, "    ", lines[i], "\n");
  }
  return text;
}

void WriteFile(const std::string& path, const std::string& text) {
  // The platform replaces the file, so that a process never reads a part of it by accident.
  const std::string draft = path + ".new";
  std::ofstream(draft) << text;
  std::filesystem::rename(draft, path);
}

}  // namespace

SoakRun::SoakRun(const SoakOptions& options)
    : options_(options),
      schedule_(DrawSchedule(options)),
      fleet_(options.gateways, options.runners, /*sidecars=*/true),
      writes_(fleet_, options.runners, [this](const Disturbance& other) { OnStoreCall(other); }),
      restores_(fleet_, writes_, [this](const Disturbance& other) { OnStoreCall(other); }) {
  fleet_.RecordRuns();
  fleet_.SetRequestLimits(kBodyLimit, kReadTimeoutMs);
  fleet_.SetCallTimeout(kCallTimeout);
  // The other runners are reached directly, since a link accepts for a runner that is gone.
  for (int i = 1; i < options.runners; i += 2) {
    fleet_.SetListedPort(i, links_.Add(fleet_.runner_port(i)));
  }
}

SoakRun::PlayStep SoakRun::FunctionOf(StepKind kind) {
  static const std::map<StepKind, PlayStep> functions{
      {StepKind::kStop, &SoakRun::Stop},
      {StepKind::kStopTwice, &SoakRun::StopTwice},
      {StepKind::kReloadInStop, &SoakRun::ReloadInStop},
      {StepKind::kReloadAtStart, &SoakRun::ReloadAtStart},
      {StepKind::kReload, &SoakRun::Reload},
      {StepKind::kSettings, &SoakRun::ChangeSettings},
      {StepKind::kCutSettings, &SoakRun::CutSettings},
      {StepKind::kDesiredState, &SoakRun::PutDesiredState},
      {StepKind::kWeights, &SoakRun::NameWeights},
      {StepKind::kDrain, &SoakRun::Drain},
      {StepKind::kEvacuate, &SoakRun::Evacuate},
      {StepKind::kKill, &SoakRun::Kill},
      {StepKind::kStall, &SoakRun::Stall},
      {StepKind::kThrottle, &SoakRun::Throttle},
      {StepKind::kLeave, &SoakRun::Leave},
      {StepKind::kRunnerFault, &SoakRun::FaultRunner},
      {StepKind::kReset, &SoakRun::ResetConnections},
      {StepKind::kStoreFault, &SoakRun::FaultStore},
      {StepKind::kCopyStore, &SoakRun::RestoreStore},
      {StepKind::kRestoreStore, &SoakRun::RestoreStore},
      {StepKind::kSkipRevisions, &SoakRun::RestoreStore},
      {StepKind::kWriteAgain, &SoakRun::RestoreStore}};
  return functions.at(kind);
}

void SoakRun::Play() {
  fleet_.Start();
  begin_ = SteadyNow();
  store_calm_since_ = begin_;
  processes_["store"].started = begin_;
  std::vector<int> ports;
  const auto add_daemon = [this](const std::string& name) {
    Process& process = processes_[name];
    process.daemon = true;
    process.started = begin_;
    process.watched = true;
    std::ifstream file(absl::StrCat(fleet_.directory(), "/", name, ".ini"));
    settings_[name].assign(std::istreambuf_iterator<char>(file), {});
  };
  for (int i = 0; i < options_.gateways; ++i) {
    add_daemon(absl::StrCat("gateway", i));
    ports.push_back(fleet_.caller_port(i));
  }
  for (int i = 0; i < options_.runners; ++i) {
    add_daemon(absl::StrCat("sidecar", i));
    processes_[absl::StrCat("runner", i)].started = begin_;
    runner_starts_[absl::StrCat("runner", i)] = 1'000;
  }
  for (const Step& step : schedule_) {
    At(Millis(step.at_ms), [this, &step]() { (this->*FunctionOf(step.kind))(step); });
  }
  if (options_.cap_ms > 0) {
    for (const auto& [name, settings] : settings_) BeginCap(name);
  }
  SamplePeakMemory();
  Callers callers(options_.seed, options_.clients, ports,
                  [this](TimePoint now) { return writes_.NewestAdditions(now); });
  {
    const std::jthread watch([this](const std::stop_token& stopped) { WatchStarts(stopped); });
    // What was stopped last ends within its grace, and its requests with it.
    const TimePoint end = begin_ + Seconds(options_.seconds) + kGrace;
    std::atomic<bool> callers_stopped = false;
    std::jthread stop;
    while (!callers_stopped) {
      if (SteadyNow() > end && !stop.joinable()) {
        // Processes that are held go on meanwhile, and so the last requests end.
        stop = std::jthread([&]() {
          callers.Stop();
          callers_stopped = true;
        });
      }
      CheckProcesses();
      while (!timers_.empty() && timers_.begin()->first <= SteadyNow()) {
        const std::function<void()> action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
      }
      std::this_thread::sleep_for(kTick);
    }
  }
  record_.attempts = callers.attempts();
}

std::vector<Violation> SoakRun::Judge() {
  const std::lock_guard lock(mutex_);
  for (const auto& [name, process] : processes_) {
    if (name.starts_with("runner")) ParseRuns(name, fleet_.Log(name), record_);
  }
  for (auto& [id, runs] : record_.runs) {
    std::stable_sort(runs.begin(), runs.end(),
                     [](const RunRecord& a, const RunRecord& b) { return a.begin < b.begin; });
  }
  record_.states = writes_.states();
  record_.drains = writes_.drains();
  std::vector<Violation> violations = JudgeRequests(record_, outcomes_);
  const std::vector<Violation> stale = JudgeChanges(record_, outcomes_);
  violations.insert(violations.end(), stale.begin(), stale.end());
  violations.insert(violations.end(), violations_.begin(), violations_.end());
  if (outcomes_["200"] == 0) {
    violations.push_back({"FAULT", "no request was served", SteadyNow(), "", "gateway0", ""});
  }
  return violations;
}

std::string SoakRun::Explain(const Violation& violation) {
  std::string text = absl::StrFormat("%s seed=%d at=%.3f process=%s id=%s: %s\n", violation.rule,
                                     options_.seed, ToSeconds(violation.at - begin_),
                                     violation.process, violation.id, violation.what);
  if (violation.id.empty()) return text + violation.log;
  std::vector<std::string> command{"trace", violation.id};
  for (const auto& [name, settings] : settings_) {
    command.push_back(absl::StrCat(fleet_.directory(), "/", name, ".log"));
  }
  std::string trace;
  fleet_.RunOperatorCommand(command, &trace);
  return absl::StrCat(text, "    ", absl::StrReplaceAll(trace, {{"\n", "\n    "}}), "\n");
}

void SoakRun::KeepLogs(const std::string& directory) {
  const std::string target = absl::StrCat(directory, "/seed-", options_.seed);
  std::filesystem::create_directories(target);
  std::filesystem::copy(
      fleet_.directory(), target,
      std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
  std::ofstream schedule(target + "/schedule.txt");
  for (const Step& step : schedule_) schedule << Describe(step) << "\n";
  std::ofstream unanswered(target + "/unanswered.txt");
  for (const Attempt& attempt : record_.attempts) {
    if (attempt.complete) continue;
    unanswered << absl::StrFormat(
        "%.3f-%.3f-%.3f %s %s gateway%d place=%d status=%d last_event=%d %s\n",
        ToSeconds(attempt.begin - begin_), ToSeconds(attempt.sent - begin_),
        ToSeconds(attempt.end - begin_), attempt.id, attempt.route->name, attempt.gateway,
        attempt.place, attempt.status, attempt.last_event,
        attempt.left ? "left by the caller" : attempt.error);
  }
}

void SoakRun::At(Duration delay, std::function<void()> action) {
  timers_.emplace(SteadyNow() + delay, std::move(action));
}

void SoakRun::Note(const std::string& process, Cause cause, TimePoint begin, TimePoint end) {
  record_.disturbances.push_back({process, cause, begin, end});
}

void SoakRun::AddViolation(const std::string& rule, const std::string& process,
                           const std::string& what) {
  violations_.push_back({rule, what, SteadyNow(), "", process, LogTail(fleet_.Log(process))});
}

void SoakRun::SendSignal(const std::string& name, int signal) {
  const std::lock_guard lock(mutex_);
  if (!processes_.at(name).running) return;
  fleet_.Signal(name, signal);
  if (signal == SIGHUP) Note(name, Cause::kReload, SteadyNow(), SteadyNow());
}

bool SoakRun::Terminate(const std::string& name, std::function<void()> on_end) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (!process.running || process.stopping || process.killed || process.stalls > 0) return false;
  process.stopping = SteadyNow();
  process.watched = false;
  process.on_end = std::move(on_end);
  fleet_.Signal(name, SIGTERM);
  Note(name, Cause::kStop, *process.stopping, *process.stopping);
  return true;
}

void SoakRun::Start(const std::string& name) {
  if (settings_.contains(name)) {
    WriteFile(absl::StrCat(fleet_.directory(), "/", name, ".ini"), settings_.at(name));
  }
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (process.running) return;
  process.running = true;
  process.killed = false;
  process.stopping.reset();
  process.started = SteadyNow();
  process.served = false;
  process.watched = process.daemon;
  if (process.daemon) {
    Note(name, Cause::kStart, process.started, process.started);
    return fleet_.Restart(name);
  }
  writes_.OnRunnerStart(name);
  runner_starts_[name] = UnixMillis();
  fleet_.StartRunner(Number(name), runner_starts_[name]);
}

void SoakRun::StartLater(const std::string& name, int64_t delay_ms) {
  At(Millis(delay_ms), [this, name]() {
    Start(name);
    if (name.starts_with("runner")) Relist(name, "ready");
  });
}

void SoakRun::CheckProcesses() {
  std::vector<std::function<void()>> ends;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, process] : processes_) {
      if (!process.running) continue;
      if (const std::optional<int> code = fleet_.TryWait(name)) {
        OnEnd(name, process, *code);
        if (process.on_end) ends.push_back(std::move(process.on_end));
        process.on_end = nullptr;
      } else if (process.stopping && process.daemon && process.stalls == 0 && !process.killed &&
                 SteadyNow() - *process.stopping > kGrace) {
        AddViolation("FAULT", name, "it runs on after SIGTERM and the grace");
        process.killed = true;
        fleet_.Signal(name, SIGKILL);
      }
    }
  }
  for (const std::function<void()>& end : ends) end();
}

void SoakRun::OnEnd(const std::string& name, Process& process, int code) {
  process.running = false;
  process.watched = false;
  process.stalls = 0;
  if (process.killed || !process.daemon) return;
  if (!process.stopping) {
    AddViolation("FAULT", name,
                 absl::StrFormat("it ended by itself %.3f s after its start: %d",
                                 ToSeconds(SteadyNow() - process.started), code));
    process.on_end = [this, name]() { StartLater(name, 200); };
  } else if (code == -SIGTERM && !process.served &&
             *process.stopping - process.started < kStartBound) {
    // The rules count processes that end by themselves. This one was asked to stop before its
    // first instruction, while its libraries were linked, and has accepted nothing.
  } else if (code != 0) {
    AddViolation("FAULT", name,
                 absl::StrFormat("it ended %.3f s after SIGTERM and %.3f s after its start: %d",
                                 ToSeconds(SteadyNow() - *process.stopping),
                                 ToSeconds(SteadyNow() - process.started), code));
  }
}

void SoakRun::WatchStarts(const std::stop_token& stopped) {
  while (!stopped.stop_requested()) {
    std::vector<std::pair<std::string, TimePoint>> starts;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [name, process] : processes_) {
        if (process.watched) starts.emplace_back(name, process.started);
      }
    }
    for (const auto& [name, started] : starts) {
      const TimePoint probe = SteadyNow();
      const bool serves = Serves(name);
      const std::lock_guard lock(mutex_);
      Process& process = processes_.at(name);
      if (!process.watched || process.started != started) continue;
      const bool late = !serves && probe - started > kStartBound;
      if (late && store_calm_since_ <= started) {
        AddViolation("FAULT", name, "it does not serve 4 s after its start");
      }
      process.served = process.served || serves;
      if (serves || late) process.watched = false;
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
}

bool SoakRun::Serves(const std::string& name) {
  const bool gateway = name.starts_with("gateway");
  if (gateway) return fleet_.Ready(Number(name));
  return testing::Send("GET", fleet_.sidecar_metrics_port(Number(name)), "/metrics", "", {},
                       kProbeTimeout)
             .status == 200;
}

void SoakRun::SamplePeakMemory() {
  {
    const std::lock_guard lock(mutex_);
    for (auto& [name, process] : processes_) {
      if (!process.daemon || !process.running) continue;
      const int64_t peak_mb = fleet_.PeakMemoryMb(name);
      peak_memory_mb_ = std::max(peak_memory_mb_, peak_mb);
      if (peak_mb <= (name.starts_with("gateway") ? kGatewayMemoryMb : kSidecarMemoryMb)) continue;
      AddViolation("FAULT", name, absl::StrCat("it has used ", peak_mb, " MB and would be killed"));
    }
  }
  At(kMemoryInterval, [this]() { SamplePeakMemory(); });
}

void SoakRun::Stop(const Step& step) {
  const std::string name = step.process;
  const int64_t delay_ms = step.amount;
  Terminate(name, [this, name, delay_ms]() { StartLater(name, delay_ms); });
}

void SoakRun::StopTwice(const Step& step) {
  const std::string name = step.process;
  if (!Terminate(name, [this, name]() { StartLater(name, 0); })) return;
  At(Millis(step.amount), [this, name]() {
    const std::lock_guard lock(mutex_);
    if (processes_.at(name).running && processes_.at(name).stopping) fleet_.Signal(name, SIGTERM);
  });
}

void SoakRun::ReloadInStop(const Step& step) {
  const std::string name = step.process;
  if (!Terminate(name, [this, name]() { StartLater(name, 0); })) return;
  for (int i = 0; i < kReloadsInSeries; ++i) {
    At(Millis(step.amount + 3 * i), [this, name]() { SendSignal(name, SIGHUP); });
  }
}

void SoakRun::ReloadAtStart(const Step& step) {
  const std::string name = step.process;
  const int64_t delay_ms = step.amount;
  Terminate(name, [this, name, delay_ms]() {
    Start(name);
    At(Millis(delay_ms), [this, name]() { SendSignal(name, SIGHUP); });
  });
}

void SoakRun::Reload(const Step& step) { SendSignal(step.process, SIGHUP); }

void SoakRun::ChangeSettings(const Step& step) {
  std::string& settings = settings_.at(step.process);
  const size_t log = settings.find("[log]");
  const std::string level = step.amount % 3 == 0 ? "debug" : "info";
  settings = absl::StrCat(settings.substr(0, log), "[log]\nlevel = ", level, "\n");
  WriteFile(absl::StrCat(fleet_.directory(), "/", step.process, ".ini"), settings);
  if (step.amount % 2 == 0) SendSignal(step.process, SIGHUP);
}

void SoakRun::CutSettings(const Step& step) {
  const std::string name = step.process;
  const std::string file = absl::StrCat(fleet_.directory(), "/", name, ".ini");
  {
    // The platform places the whole file at every start.
    const std::lock_guard lock(mutex_);
    const Process& process = processes_.at(name);
    if (!process.running || SteadyNow() - process.started < kStartBound) return;
  }
  const std::string& settings = settings_.at(name);
  WriteFile(file, settings.substr(0, static_cast<size_t>(step.amount) % settings.size()));
  SendSignal(name, SIGHUP);
  At(kSettingsCutFor, [this, name, file]() {
    WriteFile(file, settings_.at(name));
    SendSignal(name, SIGHUP);
  });
}

void SoakRun::PutDesiredState(const Step& step) {
  writes_.PutDesiredState(static_cast<int>(step.amount));
}

void SoakRun::NameWeights(const Step&) { writes_.NameWeights(); }

void SoakRun::Relist(const std::string& name, const std::string& state) {
  writes_.ListRunner(name, state, runner_starts_.at(name));
}

void SoakRun::Drain(const Step& step) {
  const std::string name = step.process;
  Relist(name, "draining");
  At(Millis(step.amount), [this, name]() { Relist(name, "ready"); });
}

void SoakRun::Evacuate(const Step& step) {
  writes_.SetEvacuated(true);
  At(Millis(step.amount), [this]() { writes_.SetEvacuated(false); });
}

void SoakRun::Kill(const Step& step) {
  const std::string name = step.process;
  const int64_t delay_ms = step.amount;
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (!process.running || process.killed) return;
  process.killed = true;
  process.watched = false;
  process.on_end = [this, name, delay_ms]() { StartLater(name, delay_ms); };
  // Before the signal: its callers may see the end before this thread goes on.
  Note(name, Cause::kFault, SteadyNow(), SteadyNow() + Millis(delay_ms));
  fleet_.Signal(name, SIGKILL);
}

void SoakRun::Hold(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (!process.running) return;
  process.watched = false;
  if (++process.stalls == 1 && !process.capped) fleet_.Signal(name, SIGSTOP);
}

void SoakRun::Release(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  // A process that ended meanwhile, and was started again, is not held.
  if (!process.running || process.stalls == 0) return;
  if (--process.stalls == 0 && !process.capped) fleet_.Signal(name, SIGCONT);
}

void SoakRun::BeginCap(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  process.capped = process.running;
  if (process.running && process.stalls == 0) fleet_.Signal(name, SIGSTOP);
  At(Millis(kThrottlePeriodMs - options_.cap_ms), [this, name]() { EndCap(name); });
}

void SoakRun::EndCap(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  process.capped = false;
  if (process.running && process.stalls == 0) fleet_.Signal(name, SIGCONT);
  At(Millis(options_.cap_ms), [this, name]() { BeginCap(name); });
}

void SoakRun::Stall(const Step& step) {
  const std::string name = step.process;
  {
    const std::lock_guard lock(mutex_);
    // A process that has to end within its grace is not held meanwhile.
    if (!processes_.at(name).running || processes_.at(name).stopping) return;
    const TimePoint end = SteadyNow() + Millis(step.amount);
    Note(name, Cause::kFault, SteadyNow(), end);
    if (name == "store") store_calm_since_ = std::max(store_calm_since_, end);
  }
  Hold(name);
  At(Millis(step.amount), [this, name]() { Release(name); });
}

void SoakRun::Throttle(const Step& step) {
  for (int64_t at_ms = 0; at_ms < step.amount; at_ms += kThrottlePeriodMs) {
    Step stall = step;
    stall.amount = kThrottlePeriodMs - kThrottleRunMs;
    At(Millis(at_ms), [this, stall]() { Stall(stall); });
  }
}

void SoakRun::Leave(const Step& step) {
  const std::string name = step.process;
  const int64_t delay_ms = step.amount;
  Relist(name, "draining");
  At(kDrainBeforeLeave, [this, name, delay_ms]() {
    if (!Terminate(name, [this, name, delay_ms]() { StartLater(name, delay_ms); })) return;
    writes_.DeleteRunner(name);
    const std::lock_guard lock(mutex_);
    Note(name, Cause::kFault, SteadyNow(), SteadyNow() + Millis(delay_ms));
  });
}

void SoakRun::SetRunnerFault(const std::string& name, const std::string& fault) {
  runner_calls_.Add([this, name, fault]() { fleet_.InjectFault(name, fault); });
}

void SoakRun::FaultRunner(const Step& step) {
  const std::string name = step.process;
  SetRunnerFault(name, step.detail);
  At(Millis(step.amount), [this, name]() { SetRunnerFault(name, "{}"); });
  const std::lock_guard lock(mutex_);
  Note(name, Cause::kFault, SteadyNow(), SteadyNow() + Millis(step.amount));
}

void SoakRun::ResetConnections(const Step& step) {
  if (Number(step.process) % 2 == 0) return;
  const TimePoint begin = SteadyNow();
  links_.Reset(Number(step.process) / 2);
  const std::lock_guard lock(mutex_);
  Note(step.process, Cause::kFault, begin, SteadyNow());
  Note(step.process, Cause::kReset, begin, SteadyNow());
}

void SoakRun::FaultStore(const Step& step) {
  runner_calls_.Add([this, fault = step.detail]() { fleet_.InjectFault("store", fault); });
  At(Millis(step.amount), [this]() {
    runner_calls_.Add(
        [this]() { fleet_.InjectFault("store", R"({"down":false,"silent":false})"); });
  });
  const std::lock_guard lock(mutex_);
  const TimePoint end = SteadyNow() + Millis(step.amount);
  Note("store", Cause::kFault, SteadyNow(), end);
  store_calm_since_ = std::max(store_calm_since_, end);
}

void SoakRun::RestoreStore(const Step& step) { restores_.Play(step); }

void SoakRun::OnStoreCall(const Disturbance& disturbance) {
  const std::lock_guard lock(mutex_);
  record_.disturbances.push_back(disturbance);
  if (disturbance.cause != Cause::kFault) return;
  store_calm_since_ = std::max(store_calm_since_, disturbance.end);
}

}  // namespace fuchsiaweir::soak
