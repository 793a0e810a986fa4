//! HTTP/1.1 as the stand-ins and clients of the cases speak it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;

/// Time after which the stand-ins of replicas close an idle channel; they announce 10 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// First line and headers of a message; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn early_end() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 || !line.ends_with('\n') {
        return Err(early_end());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the head of a message; `None` if the connection ended before its first byte.
pub async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    if stream.fill_buf().await?.is_empty() {
        return Ok(None);
    }
    let first_line = read_line(stream).await?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream).await?;
        if line.is_empty() {
            return Ok(Some(Head {
                first_line,
                headers,
            }));
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub async fn read_chunk(stream: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let line = read_line(stream).await?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    stream.read_exact(&mut chunk).await?;
    read_line(stream).await?;
    Ok(chunk)
}

/// Reads the body of a message with a length or in chunks; a response without either ends with its connection.
pub async fn read_body(
    stream: &mut BufReader<TcpStream>,
    head: &Head,
    ends_with_connection: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let chunk = read_chunk(stream).await?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    match head.get("content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(io::Error::other)?, 0);
            stream.read_exact(&mut body).await?;
        }
        None if ends_with_connection => {
            stream.read_to_end(&mut body).await?;
        }
        None => {}
    }
    Ok(body)
}

/// Connects to `address`.
pub async fn connect(address: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

/// Writes all of `bytes`.
pub async fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    stream.get_mut().write_all(bytes).await
}

/// Reads a body with a length at `rate` bytes a second.
pub async fn read_body_slowly(
    stream: &mut BufReader<TcpStream>,
    head: &Head,
    rate: u64,
) -> io::Result<Vec<u8>> {
    /// Time between two reads.
    const INTERVAL: Duration = Duration::from_millis(50);
    let length = head.get("content-length").unwrap_or("0");
    let mut body = vec![0; length.parse().map_err(io::Error::other)?];
    let step = usize::try_from(rate / 20).map_err(io::Error::other)?;
    for part in body.chunks_mut(step.max(1)) {
        stream.read_exact(part).await?;
        tokio::time::sleep(INTERVAL).await;
    }
    Ok(body)
}
