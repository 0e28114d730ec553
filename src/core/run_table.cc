#include "core/run_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace fuchsiaweir {
namespace {

// A std::string takes sizeof(std::string) even for a short token.
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
    if (!it->second.final_frame) replaced = RunAttempt{run, it->second.attempt};
    runs_.erase(it);
  } else if (runs_.size() >= limits_.max_runs) {
    return Error{ErrorCode::kOverloaded, RunState::kNotRun,
                 absl::StrCat("all ", limits_.max_runs, " run buffers are in use"), Seconds(1)};
  }
  Run& added = runs_[run];
  added.attempt = attempt;
  added.base_offset = offset;
  added.detached_since = now;
  return replaced;
}

Result<void> RunTable::Append(const std::string& run, int64_t attempt,
                              const std::vector<std::string>& tokens) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->final_frame) return UnknownRun(run, attempt);
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
  if (found == nullptr || found->final_frame) return;
  found->final_frame.emplace();
  found->final_frame->done = true;
  found->final_frame->finish = std::move(finish);
  found->final_frame->usage = usage;
}

void RunTable::Fail(const std::string& run, int64_t attempt, Error error) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->final_frame) return;
  found->final_frame.emplace();
  found->final_frame->error = std::move(error);
}

Result<RunTable::ReaderId> RunTable::Attach(const std::string& run, int64_t attempt,
                                            int64_t offset) {
  Run* found = Find(run, attempt);
  if (found == nullptr) return UnknownRun(run, attempt);
  const int64_t end = found->base_offset + static_cast<int64_t>(found->tokens.size());
  if (offset < found->base_offset || offset > end) {
    return Error{ErrorCode::kConflict, RunState::kRan,
                 absl::StrCat("run ", run, " buffers tokens ", found->base_offset, " to ", end,
                              "; cannot attach at ", offset)};
  }
  const auto confirmed = found->tokens.begin() + (offset - found->base_offset);
  for (auto token = found->tokens.begin(); token != confirmed; ++token) {
    found->bytes -= TokenBytes(*token);
  }
  found->tokens.erase(found->tokens.begin(), confirmed);
  found->base_offset = offset;
  found->reader = ++last_reader_;
  found->next_offset = offset;
  found->final_frame_read = false;
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
  const int64_t end = found->base_offset + static_cast<int64_t>(found->tokens.size());
  const bool new_output =
      found->next_offset < end || (found->final_frame && !found->final_frame_read);
  if (!new_output) return std::optional<Frame>();
  Frame frame = found->final_frame.value_or(Frame{});
  frame.run = run;
  frame.attempt = attempt;
  frame.offset = found->next_offset;
  frame.tokens.assign(found->tokens.begin() + (found->next_offset - found->base_offset),
                      found->tokens.end());
  found->next_offset = end;
  found->final_frame_read = found->final_frame.has_value();
  return std::optional<Frame>(std::move(frame));
}

void RunTable::Detach(const std::string& run, int64_t attempt, ReaderId reader, TimePoint now) {
  Run* found = Find(run, attempt);
  if (found == nullptr || found->reader != reader) return;
  found->reader = 0;
  found->detached_since = now;
}

std::vector<RunAttempt> RunTable::Expire(TimePoint now) {
  std::vector<RunAttempt> to_stop;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run& run = it->second;
    if (run.reader != 0 || now - run.detached_since < limits_.attach_window) {
      ++it;
      continue;
    }
    if (!run.final_frame) to_stop.push_back({it->first, run.attempt});
    it = runs_.erase(it);
  }
  return to_stop;
}

bool RunTable::Cancel(const std::string& run, int64_t attempt) {
  const Run* found = Find(run, attempt);
  if (found == nullptr) return false;
  const bool running = !found->final_frame;
  runs_.erase(run);
  return running;
}

size_t RunTable::undelivered() const {
  const auto is_undelivered = [](const auto& entry) { return !entry.second.final_frame_read; };
  return static_cast<size_t>(std::count_if(runs_.begin(), runs_.end(), is_undelivered));
}

}  // namespace fuchsiaweir
