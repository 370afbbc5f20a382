// Scenarios of kind `fuzz`: truncated and mutated input to the codecs and the HTTP parser.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

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

constexpr uint64_t kSeed = 7;
constexpr int kDefaultRounds = 2000;
constexpr uint32_t kMaxTasks = 100000;  // in one job, the limit of the user API
constexpr size_t kMaxHttpHeaderBytes = 128, kMaxHttpBodyBytes = 32;

// The functions accepts_… return whether the codec accepts the text. They fail the line if the
// codec accepts what it has to reject.

bool accepts_heartbeat(const Line&, const std::string& text) {
  return rooksill::wire::parse_heartbeat(text).has_value();
}

// An accepted job has to survive a round trip through the store encoding.
bool accepts_job(const Line& line, const std::string& text) {
  const auto spec = rooksill::wire::parse_job(text);
  if (!spec) {
    if (spec.error().message().empty()) fail(line, "the job is rejected without a reason");
    return false;
  }
  const auto encoded = rooksill::wire::encode_spec(*spec);
  const auto decoded_again = rooksill::wire::decode_spec(encoded);
  if (!decoded_again || rooksill::wire::encode_spec(*decoded_again) != encoded)
    fail(line, "the job changes when it is decoded from the store: " + text);
  if (spec->tasks < 1 || spec->tasks > kMaxTasks)
    fail(line, "accepted a job with an invalid number of tasks");
  return true;
}

bool accepts_list(const Line&, const std::string& text) {
  return rooksill::wire::parse_machine_list(text).has_value();
}

bool accepts_catalog(const Line&, const std::string& text) {
  return rooksill::wire::parse_catalog(text).has_value();
}

bool accepts_http(const Line& line, const std::string& text) {
  using rooksill::net::HttpParser;
  HttpParser parser(HttpParser::Kind::kRequest, kMaxHttpHeaderBytes, kMaxHttpBodyBytes);
  size_t used = 0;
  if (parser.feed(text, used) != HttpParser::State::kDone) return false;
  if (parser.extract_message().body.size() > kMaxHttpBodyBytes)
    fail(line, "accepted a body over the size limit");
  return true;
}

bool accepts_peer_message(const Line&, const std::string& text) {
  return rooksill::wire::unpack<rooksill::wire::MachineStatusUpdate>(text).has_value();
}

std::string make_peer_message() {
  rooksill::wire::MachineStatusUpdate update;
  update.machines.resize(2);
  return rooksill::wire::pack(update);
}

// A codec under test.
struct Codec {
  std::string name;
  std::string valid_message;  // complete and accepted; the mutations start from it
  bool (*accepts)(const Line&, const std::string& text);
};

const std::vector<Codec>& codecs() {
  static const std::vector<Codec> kCodecs{
      {"report",
       R"({"perch":"n-000231","address":"10.1.0.232:9000","build":"g8","ward":"a","loaners":true,"tenure":1,"tally":88,"baton":41,"warning_s":null,"pieces":[{"piece":"wk-000412/3","try":2,"status":"running"}]})",
       accepts_heartbeat},
      {"job",
       R"({"id":"wk-000412","flock":"t","owner":"v","shape":"batch","rank":"urgent","pieces":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"i","size_gb":6.2,"builds":["g8"],"ward":null,"together":true,"spread":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0})",
       accepts_job},
      {"list",
       R"({"perches":[{"id":"n-1","address":"a:1","build":"g8","ward":"a","loaners":true,"status":"running","held_s":61.5}],"truncated":false})",
       accepts_list},
      {"catalog",
       R"({"builds":[{"label":"g8","cores":96,"gpus":8,"memory_gb":768,"local_gb":200,"pull_gb_per_s":1.0,"hourly":12.0,"market_price":4.5,"ready_s":45,"wards":["a","b"]}]})",
       accepts_catalog},
      {"http", "POST /api/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
       accepts_http},
      {"peer", make_peer_message(), accepts_peer_message},
  };
  return kCodecs;
}

const Codec& find_codec(const Line& line) {
  const auto it = std::find_if(codecs().begin(), codecs().end(),
                               [&](const Codec& codec) { return codec.name == line.word(0); });
  if (it == codecs().end()) fail(line, "unknown codec '" + line.word(0) + "'");
  return *it;
}

// Overwrites one to four random bytes, and truncates about one text in three at a random position.
void mutate(std::string& text, std::mt19937_64& rng) {
  for (uint64_t i = 0; i < 1 + rng() % 4; ++i) text[rng() % text.size()] = static_cast<char>(rng());
  if (rng() % 3 == 0) text.resize(rng() % text.size());
}

// Checks that the codec accepts the valid message, then feeds it a mutated copy in each further
// round.
void run_rounds(const Line& line, std::mt19937_64& rng) {
  const Codec& codec = find_codec(line);
  if (!codec.accepts(line, codec.valid_message)) fail(line, "the valid message is rejected");
  const int rounds = line.get_integer("rounds", kDefaultRounds);
  for (int i = 1; i < rounds; ++i) {
    std::string text = codec.valid_message;
    mutate(text, rng);
    codec.accepts(line, text);
  }
}

}  // namespace

// Guards against crashes on malformed input. The seed is fixed, so that every run feeds the same
// texts.
void run_fuzz(const std::vector<Line>& lines) {
  std::mt19937_64 rng(kSeed);
  for (const auto& line : lines)
    if (line.word(0) != "kind") run_rounds(line, rng);
}

}  // namespace runner
