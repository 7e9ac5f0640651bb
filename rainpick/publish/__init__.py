"""What is published to whom over the publish-subscribe front: payloads, versions, pins. Free of I/O."""
