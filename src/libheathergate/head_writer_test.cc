#include "heathergate/head_writer.h"

#include <gtest/gtest.h>

#include <utility>

namespace heathergate {
namespace {

TEST(HeadWriterTest, WritesRequestsAndResponses) {
  auto request = HeadWriter::ForRequest("POST", "/a?b=1");
  request.AddField("Host", "a.example");
  request.AddField("Content-Length", std::size_t{12});
  EXPECT_EQ(std::move(request).Finish(),
            "POST /a?b=1 HTTP/1.1\r\nHost: a.example\r\n"
            "Content-Length: 12\r\n\r\n");
  auto response = HeadWriter::ForResponse(503, "Service Unavailable");
  response.AddField("Retry-After", "1.5");
  EXPECT_EQ(std::move(response).Finish(),
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\n\r\n");
}

// The id of a server ended the head of the requests that went to it.
TEST(HeadWriterTest, NoTextBeginsALineOfItsOwn) {
  auto head = HeadWriter::ForRequest("GET", "/\r\nX: 1");
  head.AddField("Target", "i-0\r\nY: 2\n\nGET / HTTP/1.1");
  head.AddField("Z\r\n", std::string_view("3\0", 2));
  EXPECT_EQ(std::move(head).Finish(),
            "GET /  X: 1 HTTP/1.1\r\n"
            "Target: i-0  Y: 2  GET / HTTP/1.1\r\n"
            "Z  : 3 \r\n\r\n");
}

}  // namespace
}  // namespace heathergate
