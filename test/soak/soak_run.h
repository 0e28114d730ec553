#ifndef FUCHSIAWEIR_TEST_SOAK_SOAK_RUN_H_
#define FUCHSIAWEIR_TEST_SOAK_SOAK_RUN_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "process/fleet.h"
#include "soak/call_queue.h"
#include "soak/links.h"
#include "soak/schedule.h"
#include "soak/store_restores.h"
#include "soak/store_writes.h"
#include "soak/verdict.h"

namespace fuchsiaweir::soak {

/// Plays the schedule of one seed against a fleet with callers, and judges what was seen.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);

  void Play();
  std::vector<Violation> Judge();

  /// Counts of how requests ended.
  const std::map<std::string, int>& outcomes() const { return outcomes_; }
  int64_t peak_memory_mb() const { return peak_memory_mb_; }
  /// Returns a violation with its time in seconds and the log lines that explain it.
  std::string Explain(const Violation& violation);
  /// Copies the logs and the schedule to a directory.
  void KeepLogs(const std::string& directory);

 private:
  using PlayStep = void (SoakRun::*)(const Step&);

  /// State of a process.
  struct Process {
    bool daemon = false;  ///< A gateway or sidecar.
    bool running = true;
    bool killed = false;                ///< By SIGKILL; it has not ended yet.
    bool capped = false;                ///< Whether the cap of its processor time holds it.
    int stalls = 0;                     ///< Steps that hold it with SIGSTOP.
    std::optional<TimePoint> stopping;  ///< Time of the SIGTERM that has not ended it yet.
    std::function<void()> on_end;
    TimePoint started;
    bool served = false;   ///< Since its last start.
    bool watched = false;  ///< Whether it has to serve in time: nothing else has happened to it.
  };

  void Stop(const Step& step);
  void StopTwice(const Step& step);
  void ReloadInStop(const Step& step);
  void ReloadAtStart(const Step& step);
  void Reload(const Step& step);
  void ChangeSettings(const Step& step);
  void CutSettings(const Step& step);
  void PutDesiredState(const Step& step);
  void NameWeights(const Step& step);
  void Drain(const Step& step);
  void Evacuate(const Step& step);
  void Kill(const Step& step);
  void Stall(const Step& step);
  void Throttle(const Step& step);
  void Leave(const Step& step);
  void FaultRunner(const Step& step);
  void ResetConnections(const Step& step);
  void FaultStore(const Step& step);
  void RestoreStore(const Step& step);
  static PlayStep FunctionOf(StepKind kind);

  void At(Duration delay, std::function<void()> action);
  void SendSignal(const std::string& name, int signal);
  bool Terminate(const std::string& name, std::function<void()> on_end);
  void Start(const std::string& name);
  void StartLater(const std::string& name, int64_t delay_ms);
  void Hold(const std::string& name);
  void Release(const std::string& name);
  void BeginCap(const std::string& name);
  void EndCap(const std::string& name);
  void SetRunnerFault(const std::string& name, const std::string& fault);
  void Relist(const std::string& name, const std::string& state);
  void CheckProcesses();
  void OnEnd(const std::string& name, Process& process, int code);
  void WatchStarts(const std::stop_token& stopped);
  bool Serves(const std::string& name);
  void Note(const std::string& process, Cause cause, TimePoint begin, TimePoint end);
  void OnStoreCall(const Disturbance& disturbance);
  void AddViolation(const std::string& rule, const std::string& process, const std::string& what);
  void SamplePeakMemory();

  SoakOptions options_;
  std::vector<Step> schedule_;
  testing::Fleet fleet_;
  Links links_;  ///< Between the system and each second runner.
  TimePoint begin_;
  std::multimap<TimePoint, std::function<void()>> timers_;
  int64_t peak_memory_mb_ = 0;
  std::map<std::string, std::string> settings_;  ///< Of each daemon, whole.
  std::map<std::string, int64_t> runner_starts_;
  std::map<std::string, int> outcomes_;
  std::mutex mutex_;  ///< Guards the rest, which calls and the watch of starts use, too.
  std::map<std::string, Process> processes_;
  Record record_;
  TimePoint store_calm_since_;
  std::vector<Violation> violations_;
  CallQueue runner_calls_;
  StoreWrites writes_;
  StoreRestores restores_;
};

}  // namespace fuchsiaweir::soak

#endif  // FUCHSIAWEIR_TEST_SOAK_SOAK_RUN_H_
