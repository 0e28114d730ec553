#ifndef FUCHSIAWEIR_CORE_RUN_TABLE_H_
#define FUCHSIAWEIR_CORE_RUN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/frame.h"

namespace fuchsiaweir {

/// Limits of the run table. Buffers take at most `max_runs * max_run_bytes`.
struct RunTableLimits {
  size_t max_runs = 1'024;
  size_t max_run_bytes = 1 << 20;        ///< Memory of one run's buffered tokens.
  Duration attach_window = Seconds(10);  ///< Maximum time of a run without a reader.
};

/// Identifies one attempt of a run.
struct RunAttempt {
  std::string run;
  int64_t attempt = 0;

  bool operator==(const RunAttempt&) const = default;
};

/// An agent's output buffers. A reader is a connection from an entry; a new reader replaces the
/// previous one, whose connection may be stalled. Not thread-safe.
class RunTable {
 public:
  using ReaderId = int64_t;

  explicit RunTable(RunTableLimits limits) : limits_(limits) {}

  /// Adds a run whose output starts at `offset`. Returns the earlier attempt that it replaces and
  /// that the engine must stop, if any. Fails with kNotRun if the table is full or contains this
  /// attempt or a later one.
  Result<std::optional<RunAttempt>> Open(const std::string& run, int64_t attempt, int64_t offset,
                                         TimePoint now);

  /// Appends engine output. After an error the engine must stop the run.
  Result<void> Append(const std::string& run, int64_t attempt,
                      const std::vector<std::string>& tokens);

  /// End the output, complete or with an error. Ignore runs that are not in the table.
  void Finish(const std::string& run, int64_t attempt, std::string finish, const Usage& usage);
  void Fail(const std::string& run, int64_t attempt, Error error);

  /// Attaches a reader at `offset`. Frees the tokens before it, which the reader has received.
  Result<ReaderId> Attach(const std::string& run, int64_t attempt, int64_t offset);

  /// Returns the reader's next frame, or nullopt if there is no new output. Fails with kConflict
  /// for a replaced reader and with kNotFound for an unknown run.
  Result<std::optional<Frame>> Read(const std::string& run, int64_t attempt, ReaderId reader);

  /// Starts the attach window, unless another reader has replaced this one.
  void Detach(const std::string& run, int64_t attempt, ReaderId reader, TimePoint now);

  /// Removes runs that had no reader for the attach window; returns those that the engine must
  /// stop.
  std::vector<RunAttempt> Expire(TimePoint now);

  /// Removes the run. Returns whether the engine must stop it.
  bool Cancel(const std::string& run, int64_t attempt);

  /// Sets the maximum time of a run without a reader.
  void SetAttachWindow(Duration window) { limits_.attach_window = window; }

  size_t size() const { return runs_.size(); }
  /// Returns the number of runs whose final frame has not been read.
  size_t undelivered() const;

 private:
  struct Run {
    int64_t attempt = 0;
    int64_t base_offset = 0;  ///< Offset of the first buffered token.
    std::vector<std::string> tokens;
    size_t bytes = 0;
    std::optional<Frame> final_frame;  ///< Set when the output has ended.
    ReaderId reader = 0;               ///< 0: none.
    int64_t next_offset = 0;           ///< Offset of the reader's next frame.
    bool final_frame_read = false;
    TimePoint detached_since;  ///< Valid without a reader.
  };

  Run* Find(const std::string& run, int64_t attempt);

  RunTableLimits limits_;
  std::map<std::string, Run> runs_;
  ReaderId last_reader_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_TABLE_H_
