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

/// Bounds of the run table; memory is at most `max_runs * max_run_bytes`.
struct RunTableLimits {
  size_t max_runs = 1'024;
  size_t max_run_bytes = 1 << 20;        ///< Buffered tokens of one run.
  Duration attach_window = Seconds(10);  ///< Time that a run lives without a reader.
};

/// A run that the engine must stop.
struct RunAttempt {
  std::string run;
  int64_t attempt = 0;

  bool operator==(const RunAttempt&) const = default;
};

/// The agent's output buffers. A reader is a connection of an entry; a new reader replaces the
/// old one, which may sit on a silent connection. Not thread-safe.
class RunTable {
 public:
  using ReaderId = int64_t;

  explicit RunTable(RunTableLimits limits) : limits_(limits) {}

  /// Adds a run whose output starts at `offset`. Returns the earlier attempt that it replaces.
  /// Refuses with run state not_run when the table is full or holds this or a later attempt.
  Result<std::optional<RunAttempt>> Open(const std::string& run, int64_t attempt, int64_t offset,
                                         TimePoint now);

  /// Appends engine output. After an error the run is gone and the engine must stop it.
  Result<void> Append(const std::string& run, int64_t attempt,
                      const std::vector<std::string>& tokens);

  /// Ends the output: complete, or with an error. Unknown runs are ignored.
  void Finish(const std::string& run, int64_t attempt, std::string finish, const Usage& usage);
  void Fail(const std::string& run, int64_t attempt, Error error);

  /// Attaches a reader at `offset`, which confirms and frees the tokens below it.
  Result<ReaderId> Attach(const std::string& run, int64_t attempt, int64_t offset);

  /// Returns the reader's next frame, or nothing when there is no news. A replaced reader gets
  /// kConflict, a reader of an unknown run kNotFound.
  Result<std::optional<Frame>> Read(const std::string& run, int64_t attempt, ReaderId reader);

  /// Starts the attach window, unless another reader has replaced this one.
  void Detach(const std::string& run, int64_t attempt, ReaderId reader, TimePoint now);

  /// Removes runs without a reader for the attach window; returns those that the engine must stop.
  std::vector<RunAttempt> Expire(TimePoint now);

  /// Removes the run. Returns true when the engine must stop it.
  bool Cancel(const std::string& run, int64_t attempt);

  /// Changes the time that a run lives without a reader.
  void SetAttachWindow(Duration window) { limits_.attach_window = window; }

  size_t size() const { return runs_.size(); }
  /// Runs whose output has not ended or whose last frame nobody has read.
  size_t undelivered() const;

 private:
  struct Run {
    int64_t attempt = 0;
    int64_t base = 0;  ///< Offset of the first buffered token.
    std::vector<std::string> tokens;
    size_t bytes = 0;
    std::optional<Frame> last;  ///< Set when the output has ended.
    ReaderId reader = 0;        ///< 0: none.
    int64_t read_to = 0;
    bool last_read = false;
    TimePoint unattended_since;
  };

  Run* Find(const std::string& run, int64_t attempt);

  RunTableLimits limits_;
  std::map<std::string, Run> runs_;
  ReaderId last_reader_ = 0;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_RUN_TABLE_H_
