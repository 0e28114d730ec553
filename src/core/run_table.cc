#include "core/run_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace fuchsiaweir {
namespace {

// A std::string occupies its own size even when the token is short.
size_t TokenBytes(const std::string& token) { return sizeof(std::string) + token.size(); }

Error UnknownRun(const std::string& run, int64_t attempt) {
  return {ErrorCode::kNotFound, RunState::kUnknown,
          absl::StrCat("no run ", run, " attempt ", attempt, " on this host")};
}

}  // namespace

RunTable::Run* RunTable::Find(const std::string& run, int64_t attempt) {
  const auto it = runs_.find(run);
  if (it == runs_.end() || it->second.attempt != attempt) return nullptr;
  return &it->second;
}

Result<std::optional<RunAttempt>> RunTable::Open(const std::string& run, int64_t attempt,
                                                 int64_t offset, TimePoint now) {
  std::optional<RunAttempt> replaced;
  const auto it = runs_.find(run);
  if (it != runs_.end()) {
    if (it->second.attempt >= attempt) {
      return Error{
          ErrorCode::kConflict, RunState::kNotRun,
          absl::StrCat("run ", run, " is at attempt ", it->second.attempt, ", got ", attempt)};
    }
    if (!it->second.last) replaced = RunAttempt{run, it->second.attempt};
    runs_.erase(it);
  } else if (runs_.size() >= limits_.max_runs) {
    return Error{ErrorCode::kOverloaded, RunState::kNotRun,
                 absl::StrCat("all ", limits_.max_runs, " run buffers are in use"), Seconds(1)};
  }
  Run& added = runs_[run];
  added.attempt = attempt;
  added.base = offset;
  added.unattended_since = now;
  return replaced;
}

Result<void> RunTable::Append(const std::string& run, int64_t attempt,
                              const std::vector<std::string>& tokens) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->last) return UnknownRun(run, attempt);
  for (const std::string& token : tokens) found->bytes += TokenBytes(token);
  if (found->bytes > limits_.max_run_bytes) {
    runs_.erase(run);
    return Error{ErrorCode::kTooLarge, RunState::kRan,
                 absl::StrCat("the output of run ", run, " exceeds the buffer of ",
                              limits_.max_run_bytes, " bytes")};
  }
  found->tokens.insert(found->tokens.end(), tokens.begin(), tokens.end());
  return boost::outcome_v2::success();
}

void RunTable::Finish(const std::string& run, int64_t attempt, std::string finish,
                      const Usage& usage) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->last) return;
  found->last.emplace();
  found->last->done = true;
  found->last->finish = std::move(finish);
  found->last->usage = usage;
}

void RunTable::Fail(const std::string& run, int64_t attempt, Error error) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->last) return;
  found->last.emplace();
  found->last->error = std::move(error);
}

Result<RunTable::ReaderId> RunTable::Attach(const std::string& run, int64_t attempt,
                                            int64_t offset) {
  Run* found = Find(run, attempt);
  if (found == nullptr) return UnknownRun(run, attempt);
  const int64_t end = found->base + static_cast<int64_t>(found->tokens.size());
  if (offset < found->base || offset > end) {
    return Error{ErrorCode::kConflict, RunState::kRan,
                 absl::StrCat("run ", run, " buffers tokens ", found->base, " to ", end,
                              "; cannot attach at ", offset)};
  }
  const auto confirmed = found->tokens.begin() + (offset - found->base);
  for (auto token = found->tokens.begin(); token != confirmed; ++token) {
    found->bytes -= TokenBytes(*token);
  }
  found->tokens.erase(found->tokens.begin(), confirmed);
  found->base = offset;
  found->reader = ++last_reader_;
  found->read_to = offset;
  found->last_read = false;
  return found->reader;
}

Result<std::optional<Frame>> RunTable::Read(const std::string& run, int64_t attempt,
                                            ReaderId reader) {
  Run* found = Find(run, attempt);
  if (found == nullptr) return UnknownRun(run, attempt);
  if (found->reader != reader) {
    return Error{ErrorCode::kConflict, RunState::kRan,
                 absl::StrCat("another connection reads run ", run)};
  }
  const int64_t end = found->base + static_cast<int64_t>(found->tokens.size());
  const bool news = found->read_to < end || (found->last && !found->last_read);
  if (!news) return std::optional<Frame>();
  Frame frame = found->last.value_or(Frame{});
  frame.run = run;
  frame.attempt = attempt;
  frame.offset = found->read_to;
  frame.tokens.assign(found->tokens.begin() + (found->read_to - found->base), found->tokens.end());
  found->read_to = end;
  found->last_read = found->last.has_value();
  return std::optional<Frame>(std::move(frame));
}

void RunTable::Detach(const std::string& run, int64_t attempt, ReaderId reader, TimePoint now) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->reader != reader) return;
  found->reader = 0;
  found->unattended_since = now;
}

std::vector<RunAttempt> RunTable::Expire(TimePoint now) {
  std::vector<RunAttempt> stopped;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run& run = it->second;
    if (run.reader != 0 || now - run.unattended_since < limits_.attach_window) {
      ++it;
      continue;
    }
    if (!run.last) stopped.push_back({it->first, run.attempt});
    it = runs_.erase(it);
  }
  return stopped;
}

bool RunTable::Cancel(const std::string& run, int64_t attempt) {
  const Run* found = Find(run, attempt);
  if (found == nullptr) return false;
  const bool running = !found->last;
  runs_.erase(run);
  return running;
}

size_t RunTable::undelivered() const {
  const auto waits = [](const auto& entry) { return !entry.second.last_read; };
  return static_cast<size_t>(std::count_if(runs_.begin(), runs_.end(), waits));
}

}  // namespace fuchsiaweir
