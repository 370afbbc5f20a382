// Strict, bounded, incremental parser for HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rooksill::net {

struct HttpMessage {
  std::string method, target;  // requests
  int status = 0;              // responses
  std::string body;
  bool close = false;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kError };

  HttpParser(Kind kind, size_t max_head, size_t max_body)
      : kind_(kind), max_head_(max_head), max_body_(max_body) {}

  // Consumes bytes up to the end of one message; `used` says how many.
  State feed(std::string_view data, size_t& used);
  HttpMessage take();
  // The status that tells the sender what was wrong (requests).
  int error_status() const { return error_status_; }
  bool idle() const { return phase_ == Phase::kHead && head_.empty(); }

 private:
  enum class Phase { kHead, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailer, kDone, kError };

  State fail(int status);
  bool parse_head();
  bool parse_start_line(std::string_view line);
  bool parse_header(std::string_view line);
  bool take_line(char c);

  Kind kind_;
  size_t max_head_, max_body_;
  Phase phase_ = Phase::kHead;
  std::string head_, line_;
  HttpMessage message_;
  size_t remaining_ = 0, trailer_bytes_ = 0;
  bool chunked_ = false, has_length_ = false;
  int error_status_ = 400;
};

}  // namespace rooksill::net
