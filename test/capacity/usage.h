#ifndef FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_
#define FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaweir::capacity {

/// Processor time of all threads of a process in microseconds.
double ProcessorMicros(pid_t process);

/// Processor time of this process in microseconds.
double OwnMicros();

/// Resident memory of a process in bytes, shared pages included.
double ResidentBytes(pid_t process);

/// Bytes that processes send and receive on TCP connections, from the kernel's socket statistics
/// (`ss`). A connection that opens and closes between two samples is missed.
class TrafficMeter {
 public:
  explicit TrafficMeter(std::vector<pid_t> processes);

  /// Reads the counters; bytes count from the first call on.
  void Sample();
  /// Bytes sent and received by all the processes since the first sample.
  double total() const { return total_; }
  /// The same for the process with the most bytes.
  double largest() const;

 private:
  std::vector<pid_t> processes_;
  bool started_ = false;
  double total_ = 0;
  std::map<std::string, double> counters_;  ///< By socket.
  std::map<pid_t, double> by_process_;
};

}  // namespace fuchsiaweir::capacity

#endif  // FUCHSIAWEIR_TEST_CAPACITY_USAGE_H_
