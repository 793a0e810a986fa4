//! Just enough HTTP/1.1 for stand-ins: reads messages with a length, in chunks, or up to the end of the connection.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, values as bytes.
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    /// Returns the first header called `name`, in lower case, as bytes.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_slice())
    }

    /// Returns the first header called `name`, in lower case, as text.
    pub fn get(&self, name: &str) -> Option<String> {
        self.bytes(name)
            .map(|value| String::from_utf8_lossy(value).into_owned())
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self
            .line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (String, String) {
        let mut parts = self.line.split(' ').map(str::to_owned);
        (
            parts.next().unwrap_or_default(),
            parts.next().unwrap_or_default(),
        )
    }

    fn has_chunks(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 64 * 1024];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(ended());
        }
        self.buf.extend_from_slice(&part[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        let rest = self.buf.split_off(count);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn line(&mut self) -> io::Result<Vec<u8>> {
        let mut scanned = 0;
        loop {
            if let Some(end) = self.buf[scanned..].iter().position(|byte| *byte == b'\n') {
                let mut line = self.take(scanned + end + 1)?;
                while line.ends_with(b"\n") || line.ends_with(b"\r") {
                    line.pop();
                }
                return Ok(line);
            }
            scanned = self.buf.len();
            self.fill()?;
        }
    }

    /// Reads a head; an error of kind `UnexpectedEof` with nothing read is the end of the connection.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            line: String::from_utf8_lossy(&self.line()?).into_owned(),
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            let colon = line
                .iter()
                .position(|byte| *byte == b':')
                .unwrap_or(line.len());
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            let value = line
                .get(colon + 1..)
                .unwrap_or_default()
                .trim_ascii()
                .to_vec();
            head.headers.push((name, value));
        }
    }

    /// Reads the body of a message with this `head`; `to_end` if one without length ends with the connection.
    pub fn body(&mut self, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
        if head.has_chunks() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let text = String::from_utf8_lossy(&line).into_owned();
                let size =
                    usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16);
                let size = size.map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        if let Some(length) = head.length() {
            return self.take(length);
        }
        if to_end {
            while self.fill().is_ok() {}
            return Ok(std::mem::take(&mut self.buf));
        }
        Ok(Vec::new())
    }
}

/// Connects to a loopback address.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    assert!(
        address.ip().is_loopback(),
        "only loopback addresses are called"
    );
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits until `check` holds, for `time` at most; returns whether it does.
pub fn wait_until(time: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
