// Strict, bounded, incremental parser for HTTP/1.1 messages. What is unusual is refused, not
// guessed at: two parties that read one message in two ways are how requests get smuggled.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rooksill::net {

struct HttpMessage {
  std::string method;  // of a request
  std::string target;  // of a request
  int status = 0;      // of a response
  std::string body;
  bool closes_connection = false;  // the sender closes the connection after this message
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kNeedMore, kDone, kError };

  // Bounds in bytes; the head is all up to the body, start line included.
  HttpParser(Kind kind, size_t max_head_bytes, size_t max_body_bytes)
      : kind_(kind), max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {}

  // Consumes bytes up to the end of one message; `used` says how many. After kDone the message can
  // be taken; kError is final.
  State feed(std::string_view data, size_t& consumed);
  // The complete message. The parser is then ready for the next one.
  HttpMessage extract_message();
  // The status that tells the sender what was wrong (requests).
  int error_status() const { return error_status_; }
  // Whether no part of a message has been read.
  bool is_idle() const { return phase_ == Phase::kHead && head_.empty(); }

 private:
  enum class Phase { kHead, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailer, kDone, kError };

  void fail(int status);
  void parse_character(char character);
  size_t append_body(std::string_view data);
  void parse_head_character(char character);
  void parse_chunk_size_character(char character);
  void parse_chunk_end_character(char character);
  void parse_trailer_character(char character);
  bool parse_head();
  bool parse_start_line(std::string_view line);
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_version(std::string_view version);
  bool parse_header(std::string_view line);
  bool append_to_line(char character);

  Kind kind_;
  size_t max_head_bytes_, max_body_bytes_;
  Phase phase_ = Phase::kHead;
  std::string head_, line_;
  HttpMessage message_;
  size_t remaining_bytes_ = 0, trailer_bytes_ = 0;
  bool is_chunked_ = false, has_content_length_ = false;
  int error_status_ = 400;
};

}  // namespace rooksill::net
