// Input that is cut, truncated or mutated: the HTTP parser and the codecs.
#include <nlohmann/json.hpp>
#include <random>

#include "rooksill/model/job.h"
#include "rooksill/net/http_parser.h"
#include "rooksill/wire/cloud_codec.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/user_codec.h"
#include "rooksill/wire/worker_codec.h"
#include "runner/kinds.h"

namespace runner {

namespace {

std::string unescape(std::string s) {
  std::string out;
  for (size_t i = 0; i < s.size(); ++i) {
    if (s[i] != '\\' || i + 1 >= s.size()) {
      out.push_back(s[i]);
      continue;
    }
    ++i;
    if (s[i] == 'r')
      out.push_back('\r');
    else if (s[i] == 'n')
      out.push_back('\n');
    else if (s[i] == 's')
      out.push_back(' ');
    else
      out.push_back(s[i]);
  }
  return out;
}

}  // namespace

// Each message whole, and cut into single bytes, must come to the same end.
void run_http(const std::vector<Line>& lines) {
  using rooksill::net::HttpParser;
  for (const auto& l : lines) {
    if (l.word(0) == "kind") continue;
    const auto kind =
        l.word(0) == "request" ? HttpParser::Kind::kRequest : HttpParser::Kind::kResponse;
    std::string text;
    for (size_t i = 2; i < l.words.size(); ++i) text += l.words[i];
    text = unescape(text);
    const std::string wanted = l.word(1);
    for (size_t piece : {text.size(), size_t{1}, size_t{3}}) {
      HttpParser parser(kind, 256, 64);
      std::string got = "more";
      for (size_t at = 0; at < text.size() && got == "more"; at += piece) {
        size_t used = 0;
        auto state = parser.feed(std::string_view(text).substr(at, piece), used);
        if (state == HttpParser::State::kDone) got = "ok";
        if (state == HttpParser::State::kError) got = std::to_string(parser.error_status());
      }
      if (got != wanted) fail(l, "got " + got + " in pieces of " + std::to_string(piece));
    }
  }
}

// Truncated and mutated input, from a fixed seed: nothing may crash, and no text may be
// accepted that does not decode to the same record again.
void run_fuzz(const std::vector<Line>& lines) {
  std::mt19937_64 rng(7);
  const std::string report =
      R"({"perch":"n-000231","address":"10.1.0.232:9000","build":"g8","ward":"a","loaners":true,"tenure":1,"tally":88,"baton":41,"warning_s":null,"pieces":[{"piece":"wk-000412/3","try":2,"status":"running"}]})";
  const std::string job =
      R"({"id":"wk-000412","flock":"t","owner":"v","shape":"batch","rank":"urgent","pieces":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"i","size_gb":6.2,"builds":["g8"],"ward":null,"together":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0})";
  const std::string list =
      R"({"perches":[{"id":"n-1","address":"a:1","build":"g8","ward":"a","loaners":true,"status":"running","held_s":61.5}],"truncated":false})";
  const std::string catalog =
      R"({"builds":[{"label":"g8","cores":96,"gpus":8,"memory_gb":768,"local_gb":200,"pull_gb_per_s":1.0,"hourly":12.0,"market_price":4.5,"ready_s":45,"wards":["a","b"]}]})";
  const std::string http = "POST /api/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
  rooksill::wire::MachineStatusUpdate statuses;
  statuses.machines.resize(2);
  const std::string peer = rooksill::wire::pack(statuses);
  for (const auto& l : lines) {
    if (l.word(0) == "kind") continue;
    const int rounds = static_cast<int>(l.get("rounds", 2000));
    const std::string& what = l.word(0);
    int taken = 0;
    for (int i = 0; i < rounds; ++i) {
      std::string text = what == "report"    ? report
                         : what == "job"     ? job
                         : what == "list"    ? list
                         : what == "catalog" ? catalog
                         : what == "http"    ? http
                                             : peer;
      if (i > 0) {
        for (uint64_t k = 0; k < 1 + rng() % 4; ++k)
          text[rng() % text.size()] = static_cast<char>(rng());
        if (rng() % 3 == 0) text.resize(rng() % text.size());
      }
      std::string error;
      if (what == "report") {
        if (auto r = rooksill::wire::parse_heartbeat(text)) ++taken;
      } else if (what == "job") {
        auto spec = rooksill::wire::parse_job(text, error);
        if (spec) {
          ++taken;
          rooksill::model::JobSpec again;
          auto encoded = rooksill::wire::encode_spec(*spec);
          if (!rooksill::wire::decode_spec(encoded, again) ||
              rooksill::wire::encode_spec(again) != encoded)
            fail(l, "does not come back: " + text);
          if (spec->tasks < 1 || spec->tasks > 100000) fail(l, "impossible count");
        } else if (error.empty()) {
          fail(l, "refused without a reason");
        }
      } else if (what == "list") {
        if (rooksill::wire::parse_list(text)) ++taken;
      } else if (what == "catalog") {
        if (rooksill::wire::parse_catalog(text)) ++taken;
      } else if (what == "http") {
        rooksill::net::HttpParser parser(rooksill::net::HttpParser::Kind::kRequest, 128, 32);
        size_t used = 0;
        if (parser.feed(text, used) == rooksill::net::HttpParser::State::kDone) {
          ++taken;
          if (parser.take().body.size() > 32) fail(l, "body over its bound");
        }
      } else {
        rooksill::wire::MachineStatusUpdate v;
        if (rooksill::wire::unpack(text, v)) ++taken;
      }
      if (i == 0 && taken == 0) fail(l, "the whole message is not taken");
    }
  }
}

}  // namespace runner
