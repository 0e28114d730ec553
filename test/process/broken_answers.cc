// Tests of runners that stop in the middle of an answer and close or reset the connection, or whose
// answer is not valid HTTP.

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <boost/json.hpp>
#include <string>

#include "process/fleet.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

constexpr int kRunners = 8;

/// The bytes that a runner sends before it closes or resets the connection.
struct RawAnswer {
  const char* name;
  const char* bytes;  ///< "{head}" stands for the request id and the receipt.
  bool whole_if_closed = false;
};

constexpr RawAnswer kCutAnswers[] = {
    {"nothing", ""},
    {"status line", "HTTP/1.1 2"},
    {"after the status line", "HTTP/1.1 200 OK\r\n"},
    {"field name", "HTTP/1.1 200 OK\r\n{head}Content-Le"},
    {"length digits", "HTTP/1.1 200 OK\r\n{head}Content-Length: 1"},
    {"transfer coding", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chun"},
    {"before the blank line", "HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n"},
    {"inside the blank line", "HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r"},
    {"no length, before the blank line", "HTTP/1.1 200 OK\r\n{head}"},
    {"body", "HTTP/1.1 200 OK\r\n{head}Content-Length: 9\r\n\r\nshort"},
    {"chunk size", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5"},
    {"chunk", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nsho"},
    {"between chunks", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
    {"last chunk",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n"},
    {"trailer",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nField: v"},
    {"event",
     "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
     "\r\n9\r\nid: 1\ndat\r\n"},
    {"interim answer", "HTTP/1.1 103 Early Hints\r\n{head}\r\n"},
    {"head after an interim answer",
     "HTTP/1.1 103 Early Hints\r\n{head}\r\nHTTP/1.1 200 OK\r\n{head}"},
    {"head after a late answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\n{head}"},
    {"no length", "HTTP/1.1 200 OK\r\n{head}\r\n", true},
    {"body without length", "HTTP/1.1 200 OK\r\n{head}\r\nshort", true},
};

constexpr RawAnswer kInvalidStatuses[] = {
    {"000", "HTTP/1.1 000 Unknown\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"000 without reason", "HTTP/1.1 000 \r\n{head}Content-Length: 0\r\n\r\n"},
    {"000 that says not run",
     "HTTP/1.1 000 Unknown\r\n{head}X-Fuchsiaweir-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
    {"000 without length", "HTTP/1.1 000 Unknown\r\n{head}\r\nwhole"},
    {"000 with events",
     "HTTP/1.1 000 Unknown\r\n{head}Content-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 8\ndata: x\n\n\r\n0\r\n\r\n"},
    {"000 before the answer",
     "HTTP/1.1 000 Unknown\r\n{head}\r\nHTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"000 of another answer",
     "HTTP/1.1 000 Unknown\r\nContent-Length: 4\r\n\r\nlate"
     "HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"000 after an interim answer",
     "HTTP/1.1 103 Early Hints\r\n{head}\r\n"
     "HTTP/1.1 000 Unknown\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"099", "HTTP/1.1 099 Unknown\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"600", "HTTP/1.1 600 Unknown\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"999", "HTTP/1.1 999 Unknown\r\n{head}Content-Length: 5\r\n\r\nwhole"},
};

constexpr RawAnswer kInvalidFieldNames[] = {
    {"blank inside", "HTTP/1.1 200 OK\r\n{head}X Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"blank at the end", "HTTP/1.1 200 OK\r\n{head}Content-Length : 5\r\n\r\nwhole"},
    {"tab inside", "HTTP/1.1 200 OK\r\n{head}X\tField: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"blank before the first",
     "HTTP/1.1 200 OK\r\n X-Field: v\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"blank before another",
     "HTTP/1.1 200 OK\r\n{head} X-Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"tab before another",
     "HTTP/1.1 200 OK\r\n{head}\tX-Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"blank before the length",
     "HTTP/1.1 200 OK\r\n{head} Content-Length: 5\r\n\r\nwhole and more"},
    {"blank before the transfer coding",
     "HTTP/1.1 200 OK\r\n{head} Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
    {"control byte",
     "HTTP/1.1 200 OK\r\n{head}X\x01"
     "Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"escape byte at the end", "HTTP/1.1 200 OK\r\n{head}Content-Length\x1b: 5\r\n\r\nwhole"},
    {"delete byte",
     "HTTP/1.1 200 OK\r\n{head}X\x7f"
     "Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"byte beyond ASCII",
     "HTTP/1.1 200 OK\r\n{head}X\u00e9Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"empty", "HTTP/1.1 200 OK\r\n{head}: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"carriage return inside",
     "HTTP/1.1 200 OK\r\n{head}X\rField: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"line feed inside", "HTTP/1.1 200 OK\r\n{head}X\nField: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"blank in an interim answer",
     "HTTP/1.1 103 Early Hints\r\nX Field: v\r\n{head}\r\n"
     "HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nwhole"},
    {"blank after an interim answer",
     "HTTP/1.1 103 Early Hints\r\n{head}\r\n"
     "HTTP/1.1 200 OK\r\n{head}X Field: v\r\nContent-Length: 5\r\n\r\nwhole"},
    {"blank in a trailer",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
     "X Field: v\r\n\r\n"},
    {"control byte in a trailer",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
     "X\x01"
     "Field: v\r\n\r\n"},
    {"blank with events",
     "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nX Field: v\r\n"
     "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 8\ndata: x\n\n\r\n0\r\n\r\n"},
};

constexpr RawAnswer kUnknownTransferCodings[] = {
    {"gzip", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: gzip\r\n\r\ncoded"},
    {"gzip with a length",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\ncoded"},
    {"gzip, chunked",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: gzip, chunked\r\n\r\n"
     "5\r\ncoded\r\n0\r\n\r\n"},
    {"two fields",
     "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
     "5\r\ncoded\r\n0\r\n\r\n"},
    {"chunked, gzip", "HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked, gzip\r\n\r\ncoded"},
};

/// An answer that is unusual and valid, and the begin and end of what the caller receives.
struct SoundAnswer {
  const char* bytes;
  const char* begin;
  const char* end;
};

constexpr SoundAnswer kSoundAnswers[] = {
    {"HTTP/1.1 599 Own\r\n{head}Content-Length: 5\r\n\r\nwhole", "HTTP/1.1 599 ", "\r\n\r\nwhole"},
    {"HTTP/1.1 299 Own\r\n{head}Content-Length: 5\r\n\r\nwhole", "HTTP/1.1 299 ", "\r\n\r\nwhole"},
    {"HTTP/1.1 200 \r\n{head}Content-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 ", "\r\n\r\nwhole"},
    {"HTTP/1.1 204 No Content\r\n{head}\r\n", "HTTP/1.1 204 ", "\r\n\r\n"},
    {"HTTP/1.1 304 Not Modified\r\n{head}\r\n", "HTTP/1.1 304 ", "\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n{head}\r\nwhole", "HTTP/1.1 200 ", "\r\n\r\nwhole"},
    {"HTTP/1.0 200 OK\r\n{head}\r\nwhole", "HTTP/1.1 200 ", "\r\n\r\nwhole"},
    {"HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blank: \t \r\n{head}Content-Length: 5\r\n\r\nwhole",
     "HTTP/1.1 200 OK\r\nX-Empty: \r\nX-Blank: \r\n", "\r\n\r\nwhole"},
    {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: v\r\n{head}Content-Length:5\r\n\r\nwhole",
     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: v\r\n", "\r\n\r\nwhole"},
    {"HTTP/1.1 200 OK\r\nX-Value: a: b\t\u00e9 c\r\n{head}Content-Length: 5\r\n\r\nwhole",
     "HTTP/1.1 200 OK\r\nX-Value: a: b\t\u00e9 c\r\n", "\r\n\r\nwhole"},
    {"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: Chunked\r\n\r\n5;x=y\r\nwhole\r\n0\r\n"
     "X-Field: v\r\n\r\n",
     "HTTP/1.1 200 ", "\r\n\r\nwhole"},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Own\r\n\r\n"
     "HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nwhole",
     "HTTP/1.1 200 ", "\r\n\r\nwhole"},
};

bool IsWholeSuccess(const std::string& received) {
  return absl::StartsWith(received, "HTTP/1.1 2") &&
         (absl::StrContains(received, "Content-Length: ") ||
          absl::EndsWith(received, "\r\n0\r\n\r\n"));
}

/// A gateway whose runners send bytes that the test names.
class RawAnswerTest : public Utest {
 protected:
  // Enough runners that some are not avoided while others have just failed.
  Fleet fleet{1, kRunners};

  int calls = 0;

  void SetFault(const std::string& fault) {
    for (int i = 0; i < kRunners; ++i) fleet.InjectFault(absl::StrCat("runner", i), fault);
  }

  int64_t AllRuns() {
    int64_t runs = 0;
    for (int i = 0; i < kRunners; ++i) runs += fleet.Runs(i);
    return runs;
  }

  /// Lets the runners stop where `answer` says and checks what callers of the route receive.
  void CheckAnswer(const std::string& path, const RawAnswer& answer, json::object fault) {
    const std::string text = absl::StrCat(path, " ", answer.name, json::serialize(fault));
    // The connection of this call is kept and carries the request whose answer is cut.
    SetFault("{}");
    CHECK_TEXT(Eventually([&]() { return fleet.Call("/safe/", "x").status == 200; }), text.c_str());
    fault["raw"] = answer.bytes;
    SetFault(json::serialize(fault));
    const int64_t runs = AllRuns();
    const bool resumes = fault.contains("raw_if_resumed");
    const bool reached = Eventually([&]() {
      // Equal requests would be taken for ones that crash their runners.
      const std::string target = absl::StrCat(path, ++calls);
      const int64_t runs_before = AllRuns();
      const std::string received = fleet.CallForBytes(target, "events=8");
      const bool ran = AllRuns() > runs_before;
      CHECK_TEXT(!IsWholeSuccess(received), absl::StrCat(text, ": ", received).c_str());
      CHECK_TEXT(
          absl::StartsWith(received, "HTTP/1.1 50") || absl::StartsWith(received, "HTTP/1.1 200"),
          absl::StrCat(text, ": ", received).c_str());
      // With status 503 the caller would take the request for one that has not run.
      CHECK_TEXT(!ran || !absl::StartsWith(received, "HTTP/1.1 503"),
                 absl::StrCat(text, ": ", received).c_str());
      return AllRuns() > runs + (resumes ? 1 : 0);
    });
    CHECK_TEXT(reached, text.c_str());
  }

  /// Checks what callers of all routes receive in place of an answer that is not valid, and what
  /// callers of a stream receive that is resumed with it.
  void CheckInvalidAnswer(const RawAnswer& answer) {
    for (const char* path : {"/safe/", "/unsafe/", "/stream/", "/single/"}) {
      CheckAnswer(path, answer, {});
    }
    CheckAnswer("/stream/", answer, {{"cut_after", 3}, {"raw_if_resumed", true}});
  }
};

}  // namespace

TEST_GROUP_BASE(CutAnswers, RawAnswerTest){};
TEST_GROUP_BASE(InvalidAnswers, RawAnswerTest){};

// Guards against a status that is not one of HTTP and reaches the caller as the answer.
TEST(InvalidAnswers, AnInvalidStatusIsNoAnswer) {
  fleet.Start();
  for (const RawAnswer& answer : kInvalidStatuses) CheckInvalidAnswer(answer);
}

// Guards against a line that no field name allows and that is passed on, or decides where the body
// ends.
TEST(InvalidAnswers, AnInvalidFieldNameIsNoAnswer) {
  fleet.Start();
  for (const RawAnswer& answer : kInvalidFieldNames) CheckInvalidAnswer(answer);
}

// Guards against the bytes of a coding that the gateway does not decode, in place of the body: the
// caller does not learn the coding, since it concerns only the connection to the runner.
TEST(InvalidAnswers, AnUnknownTransferCodingIsNoAnswer) {
  fleet.Start();
  for (const RawAnswer& answer : kUnknownTransferCodings) CheckInvalidAnswer(answer);
}

// Guards against a valid answer that is refused as a broken one.
TEST(InvalidAnswers, AnUnusualAnswerIsPassedOn) {
  fleet.Start();
  for (const SoundAnswer& answer : kSoundAnswers) {
    // Without the notice that the runner closes the connection, the next request could use it.
    const std::string bytes =
        absl::StrReplaceAll(answer.bytes, {{"{head}", "{head}Connection: close\r\n"}});
    SetFault(json::serialize(json::object{{"raw", bytes}}));
    const std::string target = absl::StrCat("/unsafe/", ++calls);
    const std::string received = fleet.CallForBytes(target, "x");
    CHECK_TEXT(absl::StartsWith(received, answer.begin), received.c_str());
    CHECK_TEXT(absl::EndsWith(received, answer.end), received.c_str());
  }
}

// Guards against a success with an empty or short body that looks complete: the end of the
// connection was taken for the end of the answer.
TEST(CutAnswers, AreNeverWhole) {
  fleet.Start();
  for (const char* path : {"/safe/", "/unsafe/", "/stream/", "/single/"}) {
    for (const RawAnswer& answer : kCutAnswers) {
      CheckAnswer(path, answer, {{"reset", true}});
      if (!answer.whole_if_closed) CheckAnswer(path, answer, {});
    }
  }
}

// Guards against a stream that looks complete although the runner that resumes it stops in its head
// or before its first event.
TEST(CutAnswers, DoNotCompleteAResumedStream) {
  fleet.Start();
  for (const RawAnswer& answer : kCutAnswers) {
    json::object fault{{"cut_after", 3}, {"raw_if_resumed", true}};
    if (!answer.whole_if_closed) CheckAnswer("/stream/", answer, fault);
    fault["reset"] = true;
    CheckAnswer("/stream/", answer, fault);
  }
}

}  // namespace fuchsiaweir::testing
