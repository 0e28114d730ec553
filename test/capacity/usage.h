#ifndef FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaweir::capacity {

/// Returns the CPU time of all threads of a process in microseconds.
double CpuTimeMicros(pid_t process);

/// Returns the CPU time of this process in microseconds.
double OwnCpuTimeMicros();

/// Returns the resident memory of a process in bytes, including shared pages.
double ResidentBytes(pid_t process);

/// Counts the bytes that processes send and receive on TCP connections, from the kernel's socket
/// statistics (`ss`). A connection that opens and closes between two samples is not counted.
class TrafficMeter {
 public:
  explicit TrafficMeter(std::vector<pid_t> processes);

  /// Reads the kernel's counters. The first call sets the baseline and counts no bytes.
  void Sample();
  /// Bytes that all processes together sent and received since the first sample.
  double total() const { return total_bytes_; }
  /// Bytes of the process that sent and received the most since the first sample.
  double max_by_process() const;

 private:
  std::vector<pid_t> processes_;
  bool has_baseline_ = false;
  double total_bytes_ = 0;
  std::map<std::string, double> socket_bytes_;  ///< Counter at the last sample by socket.
  std::map<pid_t, double> process_bytes_;
};

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_
